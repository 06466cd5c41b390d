package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.configuration.Pool;

/** Queues of all routers, as reported to a coordinator. */
final class DemandTable {

    /** Reported queues by key and router name. */
    private final Map<QueueKey, Map<String, RouterDemand>> queues = new HashMap<>();

    /** Keys of the non-empty queues, by pool and organisation. */
    private final Map<Pool, Map<String, QueueKey>> backlogged = new HashMap<>();

    /** Number of waiting requests by organisation, over all queues. */
    private final Map<String, Integer> waiting = new HashMap<>();

    /** Creates an empty table. */
    DemandTable() {}

    /**
     * Applies a router's report on one queue.
     *
     * @param router The router's name.
     * @param demand The reported queue.
     * @param now The current time in milliseconds.
     */
    void receive(String router, Demand demand, long now) {
        QueueKey key = new QueueKey(demand.pool(), demand.organisation());
        update(router, key, demand.waiting(), now - demand.effectiveWaitMillis());
    }

    /**
     * Removes all queues of a router.
     *
     * @param router The router's name.
     */
    void removeRouter(String router) {
        for (QueueKey key : List.copyOf(queues.keySet())) {
            if (queues.get(key).containsKey(router)) {
                update(router, key, 0, 0);
            }
        }
    }

    /**
     * Returns the non-empty queues of some pools.
     *
     * @param pools The pools.
     * @return The keys of the queues.
     */
    List<QueueKey> backlogged(Collection<Pool> pools) {
        List<QueueKey> keys = new ArrayList<>();
        for (Pool pool : pools) {
            keys.addAll(backlogged.getOrDefault(pool, Map.of()).values());
        }
        return keys;
    }

    /** {@return the names of the organisations with waiting requests} */
    Set<String> organisations() {
        return waiting.keySet();
    }

    /**
     * Finds the router with the most urgent request of a queue, among the routers with more waiting
     * requests than unacknowledged grants.
     *
     * @param key The queue.
     * @param unacknowledged Returns the number of unacknowledged grants of a router.
     * @return The router's name, or empty if all requests have grants.
     */
    Optional<String> mostUrgent(QueueKey key, UnacknowledgedGrants unacknowledged) {
        String chosen = null;
        long earliest = Long.MAX_VALUE;
        Map<String, RouterDemand> routers = queues.getOrDefault(key, Map.of());
        for (Map.Entry<String, RouterDemand> entry : routers.entrySet()) {
            RouterDemand demand = entry.getValue();
            boolean hasUnallocated =
                    demand.waiting() > unacknowledged.count(entry.getKey(), key.organisation());
            if (hasUnallocated && demand.effectiveArrival() < earliest) {
                earliest = demand.effectiveArrival();
                chosen = entry.getKey();
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Replaces the state of one router's queue.
     *
     * @param router The router's name.
     * @param key The queue.
     * @param waitingCount The number of waiting requests; 0 removes the queue.
     * @param effectiveArrival The effective arrival time of the first request.
     */
    private void update(String router, QueueKey key, int waitingCount, long effectiveArrival) {
        Map<String, RouterDemand> routers = queues.computeIfAbsent(key, ignored -> new HashMap<>());
        RouterDemand previous =
                waitingCount == 0
                        ? routers.remove(router)
                        : routers.put(router, new RouterDemand(waitingCount, effectiveArrival));
        int change = waitingCount - (previous == null ? 0 : previous.waiting());
        addWaiting(key.organisation(), change);
        Map<String, QueueKey> queuesOfPool =
                backlogged.computeIfAbsent(key.pool(), ignored -> new HashMap<>());
        if (routers.isEmpty()) {
            queues.remove(key);
            queuesOfPool.remove(key.organisation());
        } else {
            queuesOfPool.put(key.organisation(), key);
        }
    }

    private void addWaiting(String organisation, int change) {
        int total = waiting.getOrDefault(organisation, 0) + change;
        if (total <= 0) {
            waiting.remove(organisation);
        } else {
            waiting.put(organisation, total);
        }
    }

    /**
     * Removes all queues of pools that no longer exist.
     *
     * @param pools The pools to keep.
     */
    void retainPools(Set<Pool> pools) {
        Iterator<QueueKey> keys = List.copyOf(queues.keySet()).iterator();
        while (keys.hasNext()) {
            QueueKey key = keys.next();
            if (!pools.contains(key.pool())) {
                List.copyOf(queues.get(key).keySet()).forEach(router -> update(router, key, 0, 0));
            }
        }
    }
}
