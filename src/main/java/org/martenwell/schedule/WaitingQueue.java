package org.martenwell.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/** The requests of one organisation that wait for one pool, most urgent first. */
final class WaitingQueue {

    /** How many requests are looked at to find one that the target's cache helps. */
    private static final int PREFIX_SEARCH = 8;

    /** How much less urgent than the first a request may be to be preferred, in milliseconds. */
    private static final long PREFIX_PATIENCE_MILLIS = 500;

    /** The requests, most urgent first. */
    private final TreeSet<WaitingRequest> requests =
            new TreeSet<>(
                    Comparator.comparingLong(WaitingRequest::urgentSince)
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
     * @return {@code true} if it waited here.
     */
    boolean remove(WaitingRequest request) {
        return requests.remove(request);
    }

    /**
     * Returns the most urgent request.
     *
     * @return The request or empty if none waits.
     */
    Optional<WaitingRequest> first() {
        return requests.isEmpty() ? Optional.empty() : Optional.of(requests.first());
    }

    /**
     * Removes the most urgent request, or one nearly as urgent whose prompt the target prefers.
     *
     * @param preferred Tells whether the target prefers a request.
     * @return The request or empty if none waits.
     */
    Optional<WaitingRequest> poll(Predicate<WaitingRequest> preferred) {
        Optional<WaitingRequest> first = first();
        if (first.isEmpty()) {
            return first;
        }
        long latest = first.get().urgentSince() + PREFIX_PATIENCE_MILLIS;
        Optional<WaitingRequest> chosen =
                requests.stream()
                        .limit(PREFIX_SEARCH)
                        .takeWhile(request -> request.urgentSince() <= latest)
                        .filter(preferred)
                        .findFirst()
                        .or(() -> first);
        requests.remove(chosen.get());
        return chosen;
    }

    /**
     * Returns how many requests wait.
     *
     * @return The number.
     */
    int size() {
        return requests.size();
    }
}
