package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait for room at an engine. Those of the organisations that have used the least of
 * their share come first.
 */
final class EngineQueue {

    /** How often waiting requests are looked at, if there are few, in milliseconds. */
    private static final long LOOK_MILLIS = 5;

    /** The longest time between looks, in milliseconds. */
    private static final long LONGEST_LOOK_MILLIS = 25;

    /** How many waiting requests make a look a millisecond later. */
    private static final int REQUESTS_A_MILLI = 4;

    /** The loop. */
    private final NioReactor reactor;

    /** The waiting requests in the order of their arrival. */
    private final List<RequestDispatch> waiting = new ArrayList<>();

    /** Whether a look is due. */
    private boolean lookDue;

    /**
     * Creates an empty queue.
     *
     * @param reactor The loop.
     */
    EngineQueue(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Adds a request.
     *
     * @param request The request.
     */
    void add(RequestDispatch request) {
        waiting.add(request);
        lookLater();
    }

    /**
     * Removes a request.
     *
     * @param request The request.
     */
    void remove(RequestDispatch request) {
        waiting.remove(request);
    }

    /**
     * Returns whether no request waits.
     *
     * @return {@code true} if none waits.
     */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns how many requests wait.
     *
     * @return The number of requests.
     */
    int size() {
        return waiting.size();
    }

    /** Looks at waiting requests soon. */
    private void lookLater() {
        if (!lookDue && !waiting.isEmpty()) {
            lookDue = true;
            reactor.delayBackground(lookMillis(), this::look);
        }
    }

    /**
     * Returns the time until the next look: the more requests wait, the longer, so that looking at
     * them takes a bounded part of the processor.
     *
     * @return The time in milliseconds.
     */
    private long lookMillis() {
        return Math.min(LONGEST_LOOK_MILLIS, LOOK_MILLIS + waiting.size() / REQUESTS_A_MILLI);
    }

    /** Lets waiting requests try again. */
    private void look() {
        lookDue = false;
        List<RequestDispatch> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingDouble(each -> each.shareUse().promised()));
        for (RequestDispatch each : order) {
            if (waiting.contains(each)) {
                each.tryAgain();
            }
        }
        lookLater();
    }
}
