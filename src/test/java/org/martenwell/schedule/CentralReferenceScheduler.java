package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.martenwell.configuration.Target;

/**
 * Central scheduler without communication delay, used as the reference. Gives each free slot to the
 * organisation with the least service, including the service expected from its slots in use.
 */
final class CentralReferenceScheduler implements SimulatedScheduler {

    private final Map<String, PriorityQueue<Waiting>> queues = new TreeMap<>();
    private final Map<String, Double> served = new HashMap<>();
    private final Map<String, Integer> inUse = new HashMap<>();
    private final Map<String, Integer> free = new TreeMap<>();
    private final double horizonUnits;

    CentralReferenceScheduler(SimulatedSite site, SchedulingParameters parameters) {
        horizonUnits = parameters.slotRate() * parameters.horizonMillis() / 1000.0;
        for (Target target : site.targets()) {
            free.put(target.name(), target.slots());
        }
    }

    @Override
    public void arrived(int router, WaitingRequest request, long now) {
        queues.computeIfAbsent(request.organisation(), key -> new PriorityQueue<>())
                .add(new Waiting(router, request));
    }

    @Override
    public void finished(RequestStart start, long now) {
        free.merge(start.target(), 1, Integer::sum);
        inUse.merge(start.request().organisation(), -1, Integer::sum);
    }

    @Override
    public void served(int router, String organisation, double units) {
        served.merge(organisation, units, Double::sum);
    }

    @Override
    public List<RequestStart> step(long now) {
        List<RequestStart> starts = new ArrayList<>();
        for (Map.Entry<String, Integer> target : free.entrySet()) {
            while (target.getValue() > 0) {
                String least = leastServed();
                if (least == null) {
                    return starts;
                }
                Waiting next = queues.get(least).poll();
                target.setValue(target.getValue() - 1);
                inUse.merge(least, 1, Integer::sum);
                starts.add(new RequestStart(next.router, next.request, target.getKey(), this));
            }
        }
        return starts;
    }

    private String leastServed() {
        String chosen = null;
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, PriorityQueue<Waiting>> entry : queues.entrySet()) {
            String organisation = entry.getKey();
            double rank =
                    served.getOrDefault(organisation, 0.0)
                            + inUse.getOrDefault(organisation, 0) * horizonUnits;
            if (!entry.getValue().isEmpty() && rank < least) {
                least = rank;
                chosen = organisation;
            }
        }
        return chosen;
    }

    private record Waiting(int router, WaitingRequest request) implements Comparable<Waiting> {

        @Override
        public int compareTo(Waiting other) {
            return Long.compare(request.number(), other.request.number());
        }
    }
}
