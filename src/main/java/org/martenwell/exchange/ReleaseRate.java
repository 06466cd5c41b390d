package org.martenwell.exchange;

/**
 * Estimates when released memory suffices for refused requests. These are thought to queue for it,
 * so that not all of them return at the time at which there is room for one.
 */
final class ReleaseRate {

    /** The interval over which releases are counted, in milliseconds. */
    private static final long WINDOW_MILLIS = 1_000;

    /** The shortest delay, in milliseconds. */
    private static final long MIN_DELAY_MILLIS = 100;

    private long windowStartMillis;

    /** The bytes released in the current window. */
    private long currentBytes;

    /** The bytes released in the window before. */
    private long lastBytes;

    /** The time at which there is room for all requests that were refused, in milliseconds. */
    private long roomMillis;

    /** Creates the rate of a memory from which nothing was released. */
    ReleaseRate() {}

    /**
     * Records a release.
     *
     * @param bytes The number of bytes.
     * @param nowMillis The current time, in milliseconds.
     */
    void released(int bytes, long nowMillis) {
        advance(nowMillis);
        currentBytes += bytes;
    }

    /**
     * Queues a refused request.
     *
     * @param bytes The size of the request.
     * @param nowMillis The current time, in milliseconds.
     * @param maxMillis The longest delay, which also holds if nothing was released of late.
     * @return The time until there is room for it, in milliseconds.
     */
    long delayMillis(int bytes, long nowMillis, long maxMillis) {
        advance(nowMillis);
        long rate = Math.max(lastBytes, currentBytes);
        long needed = rate == 0 ? maxMillis : bytes * WINDOW_MILLIS / rate;
        long latest = nowMillis + maxMillis;
        roomMillis = Math.min(latest, Math.max(nowMillis, roomMillis) + needed);
        return Math.min(maxMillis, Math.max(MIN_DELAY_MILLIS, roomMillis - nowMillis));
    }

    private void advance(long nowMillis) {
        long elapsed = nowMillis - windowStartMillis;
        if (elapsed >= WINDOW_MILLIS) {
            lastBytes = elapsed < 2 * WINDOW_MILLIS ? currentBytes : 0;
            currentBytes = 0;
            windowStartMillis = nowMillis;
        }
    }
}
