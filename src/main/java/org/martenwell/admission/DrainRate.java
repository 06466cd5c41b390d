package org.martenwell.admission;

/** Measures how fast an organisation's waiting requests start while it is backlogged. */
final class DrainRate {

    /** How many requests must have started before the measure counts. */
    private static final double MIN_STARTED = 5;

    /** How long a backlog must last before the measure counts, in milliseconds. */
    private static final long MIN_MILLIS = 2_000;

    /** After how long the older half of the measure is forgotten, in milliseconds. */
    private static final long WINDOW_MILLIS = 10_000;

    /** When the backlog or the window began, or a negative number if there is no backlog. */
    private long since = -1;

    /** How many requests started since. */
    private double started;

    /** Creates a measure without backlog. */
    DrainRate() {}

    /**
     * Notes that requests wait.
     *
     * @param now The time.
     */
    void backlogged(long now) {
        if (since < 0) {
            since = now;
            started = 0;
        }
    }

    /** Notes that none waits any more. */
    void empty() {
        since = -1;
    }

    /**
     * Notes that a request started.
     *
     * @param now The time.
     */
    void started(long now) {
        started++;
        if (since >= 0 && now - since > WINDOW_MILLIS) {
            since += (now - since) / 2;
            started /= 2;
        }
    }

    /**
     * Estimates how long a request at some place would wait.
     *
     * @param ahead How many requests wait before it.
     * @param now The time.
     * @return The time in milliseconds, 0 as long as nothing is known.
     */
    long estimateMillis(int ahead, long now) {
        long elapsed = now - since;
        if (since < 0 || elapsed < MIN_MILLIS || started < MIN_STARTED) {
            return 0;
        }
        return (long) ((ahead + 1) * elapsed / started);
    }
}
