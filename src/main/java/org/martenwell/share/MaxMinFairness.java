package org.martenwell.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Max-min fair allocation: no allocation exceeds its demand, and demands that cannot be met in full
 * get equal shares.
 */
final class MaxMinFairness {

    private MaxMinFairness() {}

    /**
     * Computes the largest share by filling up the demands in ascending order.
     *
     * @param demands The demands by name.
     * @param capacity The capacity to share out, in the unit of the demands.
     * @return The share of every demand that is not met in full; infinite if all are met.
     */
    static double level(Map<String, Double> demands, double capacity) {
        List<Double> sorted = new ArrayList<>(demands.values());
        sorted.sort(Double::compare);
        double remaining = capacity;
        int count = sorted.size();
        for (double demand : sorted) {
            double equalShare = remaining / count;
            if (demand > equalShare) {
                return equalShare;
            }
            remaining -= demand;
            count--;
        }
        return Double.POSITIVE_INFINITY;
    }
}
