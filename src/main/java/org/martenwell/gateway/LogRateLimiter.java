package org.martenwell.gateway;

/** Bounds the lines about requests and counts those that are left out. */
final class LogRateLimiter {

    /** How many lines a second are written. */
    private static final double LINES_PER_SECOND = 120;

    /** How many lines may come at once. */
    private static final double BURST_LINES = 600;

    /** How many milliseconds a second has. */
    private static final double SECOND_MILLIS = 1_000;

    /** How many lines may be written now. */
    private double lines = BURST_LINES;

    /** When lines were last earned, in milliseconds. */
    private long earnedMillis = Long.MIN_VALUE;

    /** How many lines were left out since the last one that was written. */
    private long dropped;

    /** Creates a full budget. */
    LogRateLimiter() {}

    /**
     * Takes a line from the budget, or counts it as left out.
     *
     * @param now The present time, in milliseconds.
     * @return {@code true} if the line may be written.
     */
    boolean take(long now) {
        if (earnedMillis != Long.MIN_VALUE) {
            double earned = (now - earnedMillis) * LINES_PER_SECOND / SECOND_MILLIS;
            lines = Math.min(BURST_LINES, lines + earned);
        }
        earnedMillis = now;
        if (lines < 1) {
            dropped++;
            return false;
        }
        lines--;
        return true;
    }

    /**
     * Takes the count of lines left out.
     *
     * @return How many were left out since the last call.
     */
    long takeDropped() {
        long taken = dropped;
        dropped = 0;
        return taken;
    }
}
