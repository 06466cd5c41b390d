package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait for capacity at an engine. They are retried periodically, those of the
 * organisations that have used the least of their fair share first.
 */
final class EngineQueue {

    /** The retry interval of a short queue, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 5;

    private static final long MAX_RETRY_MILLIS = 25;

    /** The number of waiting requests that add a millisecond to the retry interval. */
    private static final int REQUESTS_PER_EXTRA_MILLI = 4;

    private final NioReactor reactor;

    /** The waiting requests in the order of their arrival. */
    private final List<RequestDispatch> waiting = new ArrayList<>();

    private boolean retryScheduled;

    /**
     * Creates an empty queue.
     *
     * @param reactor The event loop.
     */
    EngineQueue(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Adds a request and schedules its retry.
     *
     * @param request The request.
     */
    void add(RequestDispatch request) {
        waiting.add(request);
        scheduleRetry();
    }

    /**
     * Removes a request, if it waits.
     *
     * @param request The request.
     */
    void remove(RequestDispatch request) {
        waiting.remove(request);
    }

    /**
     * Returns whether the queue is empty.
     *
     * @return {@code true} if no request waits.
     */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns the length of the queue.
     *
     * @return The number of waiting requests.
     */
    int size() {
        return waiting.size();
    }

    private void scheduleRetry() {
        if (!retryScheduled && !waiting.isEmpty()) {
            retryScheduled = true;
            reactor.delayBackground(retryMillis(), this::retryAll);
        }
    }

    /** Returns the retry interval, which grows with the queue to bound the processor time. */
    private long retryMillis() {
        return Math.min(
                MAX_RETRY_MILLIS, MIN_RETRY_MILLIS + waiting.size() / REQUESTS_PER_EXTRA_MILLI);
    }

    private void retryAll() {
        retryScheduled = false;
        try {
            retryInOrder();
        } finally {
            scheduleRetry();
        }
    }

    private void retryInOrder() {
        List<RequestDispatch> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingDouble(each -> each.shareUse().promised()));
        for (RequestDispatch each : order) {
            if (waiting.contains(each)) {
                each.tryAgain();
            }
        }
    }
}
