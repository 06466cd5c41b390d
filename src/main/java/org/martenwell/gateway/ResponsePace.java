package org.martenwell.gateway;

/**
 * The times at which the chunks of a response body arrived, in milliseconds from the arrival of the
 * request. Chunks of failed attempts count too, so that a pause until a retry shows.
 */
final class ResponsePace {

    private boolean started;

    private long firstMillis;

    private long lastMillis;

    private long longestPauseMillis;

    /** Creates the pace of a response that has not begun. */
    ResponsePace() {}

    /**
     * Records that the body began to arrive. Only the first call counts.
     *
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     */
    void started(long elapsedMillis) {
        if (!started) {
            started = true;
            firstMillis = elapsedMillis;
            lastMillis = elapsedMillis;
        }
    }

    /**
     * Records the arrival of a chunk.
     *
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     */
    void received(long elapsedMillis) {
        started(elapsedMillis);
        longestPauseMillis = Math.max(longestPauseMillis, elapsedMillis - lastMillis);
        lastMillis = elapsedMillis;
    }

    /** {@return the time of the first chunk, in milliseconds, 0 for a response without a body} */
    long firstMillis() {
        return firstMillis;
    }

    /** {@return the longest time between two chunks, in milliseconds} */
    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
