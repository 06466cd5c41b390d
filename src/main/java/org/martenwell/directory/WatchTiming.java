package org.martenwell.directory;

/**
 * How gateways of a fleet watch a store. Each waiting watch is a call, and each change answers the
 * watches of all gateways, so the larger the fleet, the slower the pace. What is urgent then comes
 * from peers: newer configurations and targets that leave.
 *
 * @param waitMillis How long the store may wait for a change, in milliseconds.
 * @param batchMillis How long changes are gathered before the next watch, in milliseconds.
 */
record WatchTiming(long waitMillis, long batchMillis) {

    /** How long the store may wait in the smallest fleet, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 5_000;

    /** How much each gateway adds to that, in milliseconds. */
    private static final long WAIT_MILLIS_PER_MEMBER = 80;

    /** The longest time that the store may wait, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 15_000;

    /** How much each gateway adds to the time for which changes are gathered, in milliseconds. */
    private static final long BATCH_MILLIS_PER_MEMBER = 12;

    /** The longest time for which changes are gathered, in milliseconds. */
    private static final long MAX_BATCH_MILLIS = 750;

    /**
     * Returns the pace of a fleet.
     *
     * @param members How many gateways it has.
     * @return The pace.
     */
    static WatchTiming of(int members) {
        return new WatchTiming(
                Math.min(MAX_WAIT_MILLIS, MIN_WAIT_MILLIS + WAIT_MILLIS_PER_MEMBER * members),
                Math.min(MAX_BATCH_MILLIS, BATCH_MILLIS_PER_MEMBER * members));
    }
}
