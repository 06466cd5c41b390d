package org.martenwell.admission;

/** Rate at which an organisation's queued requests start, measured while its queue isn't empty. */
final class DrainRate {

    /** The fewest starts needed for an estimate. */
    private static final double MIN_STARTED = 5;

    /** The shortest measurement needed for an estimate, in milliseconds. */
    private static final long MIN_MILLIS = 2_000;

    /** The length of a measurement after which its older half is discarded, in milliseconds. */
    private static final long WINDOW_MILLIS = 10_000;

    /** The start of the measurement, in milliseconds; negative while the queue is empty. */
    private long windowStart = -1;

    /** The number of starts since then, halved along with the window. */
    private double started;

    /** Creates a measurement of an empty queue. */
    DrainRate() {}

    /**
     * Starts a measurement unless one is running.
     *
     * @param now The current time, in milliseconds.
     */
    void markBacklogged(long now) {
        if (windowStart < 0) {
            windowStart = now;
            started = 0;
        }
    }

    /** Ends the measurement, because the queue is empty. */
    void markEmpty() {
        windowStart = -1;
    }

    /**
     * Records the start of a queued request.
     *
     * @param now The current time, in milliseconds.
     */
    void recordStart(long now) {
        started++;
        if (windowStart >= 0 && now - windowStart > WINDOW_MILLIS) {
            windowStart += (now - windowStart) / 2;
            started /= 2;
        }
    }

    /**
     * Estimates the wait of a request in the queue.
     *
     * @param ahead The number of requests ahead of it.
     * @param now The current time, in milliseconds.
     * @return The wait in milliseconds, 0 if the measurement is too short.
     */
    long estimateMillis(int ahead, long now) {
        long elapsed = now - windowStart;
        if (windowStart < 0 || elapsed < MIN_MILLIS || started < MIN_STARTED) {
            return 0;
        }
        return (long) ((ahead + 1) * elapsed / started);
    }
}
