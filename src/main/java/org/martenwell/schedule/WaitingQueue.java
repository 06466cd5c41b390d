package org.martenwell.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Requests of one organisation that wait for one pool, most urgent first. */
final class WaitingQueue {

    /** Maximum number of requests examined to find one that the target prefers. */
    private static final int PREFIX_SCAN_LIMIT = 8;

    /**
     * Maximum difference in effective arrival by which a preferred request may overtake the first.
     */
    private static final long PREFIX_REORDER_WINDOW_MILLIS = 500;

    /** Requests in the order of effective arrival; ties are broken by request number. */
    private final TreeSet<WaitingRequest> requests =
            new TreeSet<>(
                    Comparator.comparingLong(WaitingRequest::effectiveArrival)
                            .thenComparingLong(WaitingRequest::number));

    /** Creates an empty queue. */
    WaitingQueue() {}

    /**
     * Adds a request.
     *
     * @param request The request.
     */
    void add(WaitingRequest request) {
        requests.add(request);
    }

    /**
     * Removes a request.
     *
     * @param request The request.
     * @return {@code true} if the request was in this queue.
     */
    boolean remove(WaitingRequest request) {
        return requests.remove(request);
    }

    /** {@return the most urgent request, or empty if none waits} */
    Optional<WaitingRequest> first() {
        return requests.isEmpty() ? Optional.empty() : Optional.of(requests.first());
    }

    /**
     * Removes the most urgent request, or a nearly as urgent one that the target prefers.
     *
     * @param preferred Accepts the requests that the target prefers.
     * @return The request, or empty if none waits.
     */
    Optional<WaitingRequest> poll(Predicate<WaitingRequest> preferred) {
        Optional<WaitingRequest> first = first();
        if (first.isEmpty()) {
            return first;
        }
        long latestArrival = first.get().effectiveArrival() + PREFIX_REORDER_WINDOW_MILLIS;
        Optional<WaitingRequest> chosen =
                requests.stream()
                        .limit(PREFIX_SCAN_LIMIT)
                        .takeWhile(request -> request.effectiveArrival() <= latestArrival)
                        .filter(preferred)
                        .findFirst()
                        .or(() -> first);
        requests.remove(chosen.get());
        return chosen;
    }

    /** {@return the number of waiting requests} */
    int size() {
        return requests.size();
    }
}
