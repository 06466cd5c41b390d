package org.martenwell.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Target;

/** The requests that wait at one router, by pool and organisation. Empty queues are dropped. */
final class QueueTable {

    /** The queues, none empty. */
    private final Map<QueueKey, WaitingQueue> queues = new LinkedHashMap<>();

    /** The number of requests that wait. */
    private int waiting;

    /** Creates a table without requests. */
    QueueTable() {}

    /**
     * Adds a request.
     *
     * @param request The request.
     * @return Its queue.
     */
    QueueKey add(WaitingRequest request) {
        QueueKey key = QueueKey.of(request);
        queues.computeIfAbsent(key, any -> new WaitingQueue()).add(request);
        waiting++;
        return key;
    }

    /**
     * Removes a request.
     *
     * @param request The request.
     * @return {@code true} if it was waiting.
     */
    boolean remove(WaitingRequest request) {
        QueueKey key = QueueKey.of(request);
        WaitingQueue queue = queues.get(key);
        boolean removed = queue != null && queue.remove(request);
        if (removed) {
            waiting--;
            dropIfEmpty(key, queue);
        }
        return removed;
    }

    /**
     * Takes the next request of a queue.
     *
     * @param key The queue, which is not empty.
     * @param preferred Tells whether a request suits the target better than others.
     * @return The request.
     */
    WaitingRequest take(QueueKey key, Predicate<WaitingRequest> preferred) {
        WaitingQueue queue = queues.get(key);
        WaitingRequest request = queue.poll(preferred).orElseThrow();
        waiting--;
        dropIfEmpty(key, queue);
        return request;
    }

    /**
     * Returns whether anything waits in a queue.
     *
     * @param key The queue.
     * @return {@code true} if so.
     */
    boolean contains(QueueKey key) {
        return queues.containsKey(key);
    }

    /**
     * Returns the queues in which something waits.
     *
     * @return The queues.
     */
    List<QueueKey> keys() {
        return List.copyOf(queues.keySet());
    }

    /**
     * Finds the queue of an organisation with the most urgent request that a target may serve.
     *
     * @param target The target.
     * @param organisation The organisation.
     * @return The queue or empty if nothing waits.
     */
    Optional<QueueKey> mostUrgent(Target target, String organisation) {
        QueueKey chosen = null;
        long earliest = Long.MAX_VALUE;
        for (Pool pool : target.pools()) {
            QueueKey key = new QueueKey(pool, organisation);
            WaitingQueue queue = queues.get(key);
            if (queue != null && queue.first().orElseThrow().urgentSince() < earliest) {
                earliest = queue.first().orElseThrow().urgentSince();
                chosen = key;
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Returns what a keeper would be told of a queue now.
     *
     * @param key The queue.
     * @param limit The largest number of requests that is told.
     * @return What is the case.
     */
    ToldDemand demand(QueueKey key, int limit) {
        WaitingQueue queue = queues.get(key);
        if (queue == null) {
            return ToldDemand.NOTHING;
        }
        long urgentSince = queue.first().orElseThrow().urgentSince();
        return new ToldDemand(Math.min(queue.size(), limit), urgentSince);
    }

    /**
     * Returns how many requests wait.
     *
     * @return The number of requests.
     */
    int waiting() {
        return waiting;
    }

    /**
     * Drops a queue in which nothing waits.
     *
     * @param key The queue.
     * @param queue The queue's requests.
     */
    private void dropIfEmpty(QueueKey key, WaitingQueue queue) {
        if (queue.size() == 0) {
            queues.remove(key);
        }
    }
}
