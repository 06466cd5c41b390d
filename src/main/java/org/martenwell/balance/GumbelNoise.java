package org.martenwell.balance;

import java.util.Random;

/**
 * Samples of the Gumbel distribution. Choosing the lowest cost after adding such noise is a softmax
 * choice: the probability of a candidate falls by a factor of e for each unit of the scale by which
 * its cost is higher.
 */
final class GumbelNoise {

    private GumbelNoise() {}

    /**
     * Returns a sample.
     *
     * @param scale The scale, in the unit of the costs.
     * @param random The source of randomness.
     * @return The noise, 0 if the scale is not positive.
     */
    static double sample(double scale, Random random) {
        if (scale <= 0) {
            return 0;
        }
        double uniform = random.nextDouble(Double.MIN_VALUE, 1);
        return scale * Math.log(-Math.log(uniform));
    }
}
