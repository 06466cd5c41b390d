package org.martenwell.balance;

/**
 * A kind of simulated request.
 *
 * @param name The name.
 * @param sharedTokens The size of the shared part of the prompt.
 * @param prefixCount The number of different shared parts.
 * @param ownTokens The mean size of the own part.
 * @param maxOwnTokens The largest size of the own part, of which the sizes follow a log-normal
 *     distribution; 0 if they lie between half and one and a half of the mean.
 * @param responseTokens The size of the response.
 * @param objectiveMillis The objective for the first event, in milliseconds.
 * @param intervalMillis The permitted interval between events, in milliseconds.
 */
record RequestKind(
        String name,
        int sharedTokens,
        int prefixCount,
        int ownTokens,
        int maxOwnTokens,
        int responseTokens,
        long objectiveMillis,
        long intervalMillis) {

    /** The standard deviation of the logarithm of sizes that have a largest one. */
    private static final double SIGMA = 0.8;

    /** Returns a size of the own part. */
    int sampleOwnTokens(java.util.random.RandomGenerator random) {
        if (maxOwnTokens == 0) {
            return (int) (ownTokens * (0.5 + random.nextDouble()));
        }
        double median = ownTokens * Math.exp(-SIGMA * SIGMA / 2);
        return (int) Math.min(maxOwnTokens, median * Math.exp(SIGMA * random.nextGaussian()));
    }
}
