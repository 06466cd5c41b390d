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

/** What a keeper knows of the requests that wait at routers. */
final class DemandTable {

    /** The queues by pool and organisation, each with its routers. */
    private final Map<QueueKey, Map<String, RouterDemand>> queues = new HashMap<>();

    /** The queues of each pool that have waiting requests. */
    private final Map<Pool, Map<String, QueueKey>> backlogged = new HashMap<>();

    /** How many requests wait for each organisation, over all queues. */
    private final Map<String, Integer> waiting = new HashMap<>();

    /** Creates an empty table. */
    DemandTable() {}

    /**
     * Takes in what a router told of one queue.
     *
     * @param router The router.
     * @param demand What it told.
     * @param now The time.
     */
    void receive(String router, Demand demand, long now) {
        QueueKey key = new QueueKey(demand.pool(), demand.organisation());
        set(router, key, demand.waiting(), now - demand.urgency());
    }

    /**
     * Forgets a router's queues.
     *
     * @param router The router.
     */
    void drop(String router) {
        for (QueueKey key : List.copyOf(queues.keySet())) {
            if (queues.get(key).containsKey(router)) {
                set(router, key, 0, 0);
            }
        }
    }

    /**
     * Returns the organisations that have requests waiting for any of the pools.
     *
     * @param pools The pools.
     * @return The queues.
     */
    List<QueueKey> backlogged(Collection<Pool> pools) {
        List<QueueKey> keys = new ArrayList<>();
        for (Pool pool : pools) {
            keys.addAll(backlogged.getOrDefault(pool, Map.of()).values());
        }
        return keys;
    }

    /**
     * Returns the organisations that have any request waiting.
     *
     * @return The names.
     */
    Set<String> organisations() {
        return waiting.keySet();
    }

    /**
     * Picks the router with the most urgent request of a queue that has not been granted a slot
     * yet.
     *
     * @param key The queue.
     * @param unseen Tells how many grants are under way to a router.
     * @return The router or empty if grants for all requests are under way.
     */
    Optional<String> mostUrgent(QueueKey key, UnseenGrants unseen) {
        String chosen = null;
        long earliest = Long.MAX_VALUE;
        Map<String, RouterDemand> routers = queues.getOrDefault(key, Map.of());
        for (Map.Entry<String, RouterDemand> entry : routers.entrySet()) {
            RouterDemand demand = entry.getValue();
            boolean open = demand.waiting() > unseen.count(entry.getKey(), key.organisation());
            if (open && demand.urgentSince() < earliest) {
                earliest = demand.urgentSince();
                chosen = entry.getKey();
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Sets what one router has waiting in one queue.
     *
     * @param router The router.
     * @param key The queue.
     * @param count How many requests wait.
     * @param urgentSince Since when the first one is urgent.
     */
    private void set(String router, QueueKey key, int count, long urgentSince) {
        Map<String, RouterDemand> routers = queues.computeIfAbsent(key, any -> new HashMap<>());
        RouterDemand before =
                count == 0
                        ? routers.remove(router)
                        : routers.put(router, new RouterDemand(count, urgentSince));
        int change = count - (before == null ? 0 : before.waiting());
        addWaiting(key.organisation(), change);
        Map<String, QueueKey> ofPool =
                backlogged.computeIfAbsent(key.pool(), any -> new HashMap<>());
        if (routers.isEmpty()) {
            queues.remove(key);
            ofPool.remove(key.organisation());
        } else {
            ofPool.put(key.organisation(), key);
        }
    }

    /**
     * Changes how many requests wait for an organisation.
     *
     * @param organisation The organisation.
     * @param change The change.
     */
    private void addWaiting(String organisation, int change) {
        int sum = waiting.getOrDefault(organisation, 0) + change;
        if (sum <= 0) {
            waiting.remove(organisation);
        } else {
            waiting.put(organisation, sum);
        }
    }

    /**
     * Keeps only the queues of known pools.
     *
     * @param pools The known pools.
     */
    void retainPools(Set<Pool> pools) {
        Iterator<QueueKey> keys = List.copyOf(queues.keySet()).iterator();
        while (keys.hasNext()) {
            QueueKey key = keys.next();
            if (!pools.contains(key.pool())) {
                List.copyOf(queues.get(key).keySet()).forEach(router -> set(router, key, 0, 0));
            }
        }
    }
}
