package org.martenwell.admission;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Refused requests whose callers got a delay for their retry. They take places when they return, so
 * a request that is refused after them gets a longer delay.
 */
final class ReturningRequests {

    /** The most that are counted; later ones get the longest delay anyway. */
    private static final int MAX_COUNTED = 1_024;

    /** The times at which they return, in milliseconds, about in ascending order. */
    private final Queue<Long> returnMillis = new ArrayDeque<>();

    /** Creates the state without refused requests. */
    ReturningRequests() {}

    /**
     * Records a refused request.
     *
     * @param atMillis The time at which its caller retries, in milliseconds.
     */
    void add(long atMillis) {
        if (returnMillis.size() < MAX_COUNTED) {
            returnMillis.add(atMillis);
        }
    }

    /**
     * Counts the refused requests that have not returned.
     *
     * @param now The current time, in milliseconds.
     * @return The number.
     */
    int count(long now) {
        while (!returnMillis.isEmpty() && returnMillis.element() <= now) {
            returnMillis.remove();
        }
        return returnMillis.size();
    }
}
