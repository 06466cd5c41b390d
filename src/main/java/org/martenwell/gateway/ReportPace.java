package org.martenwell.gateway;

/**
 * How often gateways report to their peers. In a small fleet reports are as fresh as they are
 * useful; in a large one the interval grows with the number of peers, so that the work for reports
 * stays the same on every gateway.
 */
final class ReportPace {

    /** The shortest interval, in milliseconds. */
    private static final long LEAST_MILLIS = 40;

    /** How much each peer adds to the interval of a large fleet, in milliseconds. */
    private static final long PER_PEER_MILLIS = 3;

    /** The longest interval; peers' words are forgotten at five times that, in milliseconds. */
    private static final long MOST_MILLIS = 200;

    /** Not instantiated. */
    private ReportPace() {}

    /**
     * Returns how long a gateway waits between two reports.
     *
     * @param members How many gateways the fleet has, this one among them.
     * @return The interval in milliseconds.
     */
    static long intervalMillis(int members) {
        long peers = Math.max(0, members - 1);
        return Math.min(MOST_MILLIS, Math.max(LEAST_MILLIS, PER_PEER_MILLIS * peers));
    }
}
