package org.martenwell.directory;

/**
 * Timing of watches on the store. Each pending watch is a call, and each change completes the
 * watches of all gateways, so watches become less frequent as the fleet grows. Urgent changes, such
 * as new configurations and draining targets, also arrive from peers.
 *
 * @param waitMillis The maximum time for which the store waits for a change, in milliseconds.
 * @param batchMillis The delay between a change and the next watch, during which further changes
 *     accumulate, in milliseconds.
 */
record WatchTiming(long waitMillis, long batchMillis) {

    /** The wait of the smallest fleet, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 8_000;

    /** The additional wait per gateway, in milliseconds. */
    private static final long WAIT_MILLIS_PER_MEMBER = 160;

    private static final long MAX_WAIT_MILLIS = 25_000;

    /** The additional batching delay per gateway, in milliseconds. */
    private static final long BATCH_MILLIS_PER_MEMBER = 12;

    private static final long MAX_BATCH_MILLIS = 750;

    /**
     * The factor by which the delay behind a change that only adds objects is longer. Nobody waits
     * for a new target as for the end of a draining one, and while a fleet's targets start, each
     * addition would complete the watches of all gateways.
     */
    private static final double ADDITION_FACTOR = 1.75;

    /**
     * Timing for the time in which a gateway does not know the size of its fleet yet. A whole fleet
     * and its targets may start at once, and each change would then complete all watches.
     */
    static final WatchTiming STARTING = new WatchTiming(MIN_WAIT_MILLIS, MAX_BATCH_MILLIS);

    /**
     * Returns the timing for a fleet.
     *
     * @param members The number of gateways.
     * @return The timing.
     */
    static WatchTiming of(int members) {
        return new WatchTiming(
                Math.min(MAX_WAIT_MILLIS, MIN_WAIT_MILLIS + WAIT_MILLIS_PER_MEMBER * members),
                Math.min(MAX_BATCH_MILLIS, BATCH_MILLIS_PER_MEMBER * members));
    }

    /**
     * {@return the mean delay between a change that only adds objects and the next watch, in
     * milliseconds}
     */
    long additionBatchMillis() {
        return Math.round(ADDITION_FACTOR * batchMillis);
    }
}
