package org.martenwell.gateway;

/** Token bucket that limits log lines about requests and counts the lines that it suppresses. */
final class LogRateLimiter {

    private static final double LINES_PER_SECOND = 120;

    private static final double BURST_LINES = 600;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The lines that may be written now. */
    private double availableLines = BURST_LINES;

    /** The time of the last refill, in milliseconds. */
    private long refilledMillis = Long.MIN_VALUE;

    /** The lines suppressed since the last call of {@link #takeSuppressed}. */
    private long suppressed;

    /** Creates a limiter with a full burst. */
    LogRateLimiter() {}

    /**
     * Acquires permission to write a line. A line that is denied counts as suppressed.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if the line may be written.
     */
    boolean tryAcquire(long now) {
        if (refilledMillis != Long.MIN_VALUE) {
            double refill = (now - refilledMillis) * LINES_PER_SECOND / MILLIS_PER_SECOND;
            availableLines = Math.min(BURST_LINES, availableLines + refill);
        }
        refilledMillis = now;
        if (availableLines < 1) {
            suppressed++;
            return false;
        }
        availableLines--;
        return true;
    }

    /**
     * Returns and resets the count of suppressed lines.
     *
     * @return The number of lines suppressed since the last call.
     */
    long takeSuppressed() {
        long taken = suppressed;
        suppressed = 0;
        return taken;
    }
}
