package org.martenwell.gateway;

/** Token bucket that limits log lines and counts the lines that it suppresses. */
final class LogRateLimiter {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double linesPerSecond;

    private final double burstLines;

    /** The lines that may be written now. */
    private double availableLines;

    /** The time of the last refill, in milliseconds. */
    private long refilledMillis = Long.MIN_VALUE;

    /** The lines suppressed since the last call of {@link #takeSuppressed}. */
    private long suppressed;

    /**
     * Creates a limiter with a full burst.
     *
     * @param linesPerSecond The mean rate of lines.
     * @param burstLines The most lines that may be written at once.
     */
    LogRateLimiter(double linesPerSecond, double burstLines) {
        this.linesPerSecond = linesPerSecond;
        this.burstLines = burstLines;
        this.availableLines = burstLines;
    }

    /**
     * Acquires permission to write a line. A line that is denied counts as suppressed.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if the line may be written.
     */
    boolean tryAcquire(long now) {
        if (refilledMillis != Long.MIN_VALUE) {
            double refill = (now - refilledMillis) * linesPerSecond / MILLIS_PER_SECOND;
            availableLines = Math.min(burstLines, availableLines + refill);
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
