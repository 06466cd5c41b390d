package org.martenwell.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Target;

/** Requests waiting at one router, by pool and organisation. Empty queues are removed. */
final class QueueTable {

    private final Map<QueueKey, WaitingQueue> queues = new LinkedHashMap<>();

    private int waiting;

    /** Creates an empty table. */
    QueueTable() {}

    /**
     * Adds a request to its queue.
     *
     * @param request The request.
     * @return The key of the queue.
     */
    QueueKey add(WaitingRequest request) {
        QueueKey key = QueueKey.of(request);
        queues.computeIfAbsent(key, ignored -> new WaitingQueue()).add(request);
        waiting++;
        return key;
    }

    /**
     * Removes a request from its queue.
     *
     * @param request The request.
     * @return {@code true} if the request was waiting.
     */
    boolean remove(WaitingRequest request) {
        QueueKey key = QueueKey.of(request);
        WaitingQueue queue = queues.get(key);
        boolean removed = queue != null && queue.remove(request);
        if (removed) {
            waiting--;
            removeIfEmpty(key, queue);
        }
        return removed;
    }

    /**
     * Removes the next request of a queue.
     *
     * @param key The queue, which must not be empty.
     * @param preferred Accepts the requests that the target prefers.
     * @return The request.
     */
    WaitingRequest take(QueueKey key, Predicate<WaitingRequest> preferred) {
        WaitingQueue queue = queues.get(key);
        WaitingRequest request = queue.poll(preferred).orElseThrow();
        waiting--;
        removeIfEmpty(key, queue);
        return request;
    }

    /**
     * Checks whether a queue has waiting requests.
     *
     * @param key The queue.
     * @return {@code true} if at least one request waits.
     */
    boolean contains(QueueKey key) {
        return queues.containsKey(key);
    }

    /** {@return the keys of all queues, none of them empty} */
    List<QueueKey> keys() {
        return List.copyOf(queues.keySet());
    }

    /**
     * Finds the queue that holds an organisation's most urgent request for a target.
     *
     * @param target The target.
     * @param organisation The organisation.
     * @return The queue, or empty if no request waits that the target serves.
     */
    Optional<QueueKey> mostUrgent(Target target, String organisation) {
        QueueKey chosen = null;
        long earliest = Long.MAX_VALUE;
        for (Pool pool : target.pools()) {
            QueueKey key = new QueueKey(pool, organisation);
            WaitingQueue queue = queues.get(key);
            if (queue != null && queue.first().orElseThrow().effectiveArrival() < earliest) {
                earliest = queue.first().orElseThrow().effectiveArrival();
                chosen = key;
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Returns the current state of a queue, as reported to coordinators.
     *
     * @param key The queue.
     * @param limit The maximum number of waiting requests to report.
     * @return The state.
     */
    QueueState state(QueueKey key, int limit) {
        WaitingQueue queue = queues.get(key);
        if (queue == null) {
            return QueueState.EMPTY;
        }
        long effectiveArrival = queue.first().orElseThrow().effectiveArrival();
        return new QueueState(Math.min(queue.size(), limit), effectiveArrival);
    }

    /** {@return the number of waiting requests in all queues} */
    int waiting() {
        return waiting;
    }

    private void removeIfEmpty(QueueKey key, WaitingQueue queue) {
        if (queue.size() == 0) {
            queues.remove(key);
        }
    }
}
