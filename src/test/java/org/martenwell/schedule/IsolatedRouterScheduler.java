package org.martenwell.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Baseline without communication between routers. Each router has a fixed share of the slots and
 * serves either the least served organisation or the first request.
 */
final class IsolatedRouterScheduler implements SimulatedScheduler {

    private final boolean fair;
    private final List<Map<String, Deque<WaitingRequest>>> queues = new ArrayList<>();
    private final List<Map<String, Double>> served = new ArrayList<>();
    private final List<Deque<String>> free = new ArrayList<>();

    IsolatedRouterScheduler(SimulatedSite site, boolean fair) {
        this.fair = fair;
        for (int router = 0; router < site.routers(); router++) {
            queues.add(new TreeMap<>());
            served.add(new HashMap<>());
            free.add(new ArrayDeque<>());
        }
        for (int slot = 0; slot < site.slots(); slot++) {
            int target = slot % site.targets().size();
            free.get(slot % site.routers()).add(site.targets().get(target).name());
        }
    }

    @Override
    public void arrived(int router, WaitingRequest request, long now) {
        queues.get(router)
                .computeIfAbsent(request.organisation(), key -> new ArrayDeque<>())
                .add(request);
    }

    @Override
    public void finished(RequestStart start, long now) {
        free.get(start.router()).add(start.target());
    }

    @Override
    public void served(int router, String organisation, double units) {
        served.get(router).merge(organisation, units, Double::sum);
    }

    @Override
    public List<RequestStart> step(long now) {
        List<RequestStart> starts = new ArrayList<>();
        for (int router = 0; router < queues.size(); router++) {
            while (!free.get(router).isEmpty()) {
                String next = fair ? leastServed(router) : firstCome(router);
                if (next == null) {
                    break;
                }
                WaitingRequest request = queues.get(router).get(next).poll();
                starts.add(new RequestStart(router, request, free.get(router).poll(), this));
            }
        }
        return starts;
    }

    private String leastServed(int router) {
        String chosen = null;
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Deque<WaitingRequest>> entry : queues.get(router).entrySet()) {
            double rank = served.get(router).getOrDefault(entry.getKey(), 0.0);
            if (!entry.getValue().isEmpty() && rank < least) {
                least = rank;
                chosen = entry.getKey();
            }
        }
        return chosen;
    }

    private String firstCome(int router) {
        String chosen = null;
        long first = Long.MAX_VALUE;
        for (Map.Entry<String, Deque<WaitingRequest>> entry : queues.get(router).entrySet()) {
            if (!entry.getValue().isEmpty() && entry.getValue().peek().number() < first) {
                first = entry.getValue().peek().number();
                chosen = entry.getKey();
            }
        }
        return chosen;
    }
}
