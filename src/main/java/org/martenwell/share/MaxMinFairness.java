package org.martenwell.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Max-min fairness: nobody gets more than it asks, and what is left is split evenly. */
final class MaxMin {

    /** Not instantiated. */
    private MaxMin() {}

    /**
     * Finds the level up to which every demand is met.
     *
     * @param demands The demands.
     * @param capacity What there is to share.
     * @return The greatest share; smaller demands are met in full. Infinite if all are met.
     */
    static double level(Map<String, Double> demands, double capacity) {
        List<Double> sorted = new ArrayList<>(demands.values());
        sorted.sort(Double::compare);
        double left = capacity;
        int count = sorted.size();
        for (double each : sorted) {
            double even = left / count;
            if (each > even) {
                return even;
            }
            left -= each;
            count--;
        }
        return Double.POSITIVE_INFINITY;
    }
}
