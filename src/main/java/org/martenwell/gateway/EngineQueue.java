package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.admission.ForecastQueue;

/**
 * Requests that wait for capacity at an engine. They are retried periodically, those that continue
 * admitted streams first, then those of the organisations that have used the least of their share.
 * If requests wait by forecast, {@link ForecastQueue} determines their order.
 */
final class EngineQueue {

    /** The retry interval of a short queue, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 5;

    private static final long MAX_RETRY_MILLIS = 25;

    /** The number of waiting requests that add a millisecond to the retry interval. */
    private static final int REQUESTS_PER_EXTRA_MILLI = 4;

    private final NioReactor reactor;

    /** The waiting requests in the order of their arrival. */
    private final List<RequestSender> waiting = new ArrayList<>();

    /** The requests that wait by forecast, by service. */
    private final Map<String, ForecastQueue<RequestSender>> forecastQueues = new HashMap<>();

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
     * Returns the requests to a service that wait by forecast.
     *
     * @param service The name of the service.
     * @return The queue of the service.
     */
    ForecastQueue<RequestSender> forecastQueue(String service) {
        return forecastQueues.computeIfAbsent(service, name -> new ForecastQueue<>());
    }

    /**
     * Adds a request and schedules its retry.
     *
     * @param request The request.
     */
    void add(RequestSender request) {
        waiting.add(request);
        scheduleRetry();
    }

    /**
     * Adds a request that waits by forecast and schedules its retry.
     *
     * @param request The request.
     * @param wait Its place in the order.
     */
    void add(RequestSender request, EngineWait wait) {
        wait.add(request, reactor.currentTimeMillis());
        scheduleRetry();
    }

    /**
     * Removes a request, if it waits.
     *
     * @param request The request.
     */
    void remove(RequestSender request) {
        waiting.remove(request);
        forecastQueues.values().forEach(each -> each.remove(request, reactor.currentTimeMillis()));
    }

    /**
     * Returns whether the queue is empty.
     *
     * @return {@code true} if no request waits.
     */
    boolean isEmpty() {
        return size() == 0;
    }

    /**
     * Returns the length of the queue.
     *
     * @return The number of waiting requests.
     */
    int size() {
        return waiting.size()
                + forecastQueues.values().stream().mapToInt(ForecastQueue::size).sum();
    }

    private void scheduleRetry() {
        if (!retryScheduled && !isEmpty()) {
            retryScheduled = true;
            reactor.delayBackground(retryMillis(), this::retryAll);
        }
    }

    /** Returns the retry interval, which grows with the queue to bound the processor time. */
    private long retryMillis() {
        return Math.min(MAX_RETRY_MILLIS, MIN_RETRY_MILLIS + size() / REQUESTS_PER_EXTRA_MILLI);
    }

    private void retryAll() {
        retryScheduled = false;
        try {
            retryInOrder();
            for (ForecastQueue<RequestSender> each : forecastQueues.values()) {
                each.offerPlaces(reactor.currentTimeMillis());
            }
        } finally {
            scheduleRetry();
        }
    }

    private void retryInOrder() {
        List<RequestSender> order = new ArrayList<>(waiting);
        order.sort(
                Comparator.comparing((RequestSender each) -> !each.hasPrecedence())
                        .thenComparingDouble(each -> each.shareUse().promised()));
        for (RequestSender each : order) {
            if (waiting.contains(each)) {
                each.tryAgain();
            }
        }
    }
}
