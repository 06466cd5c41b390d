package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * Drives a scheduler with organisations that are always backlogged. Request costs are log-normal
 * and unknown to the scheduler in advance. Time advances in fixed steps, so the result depends only
 * on the seed.
 */
final class Simulation {

    static final long STEP_MILLIS = 2;

    private static final double TOKENS_PER_SECOND = 36;
    private static final double MEDIAN_TOKENS = 200;
    private static final double SIGMA = 1.2;
    private static final double MIN_TOKENS = 40;
    private static final double MAX_TOKENS = 4_000;

    private final SimulatedSite site;
    private final SimulatedScheduler scheduler;
    private final Random random;
    private final Map<String, Integer> waiting = new HashMap<>();
    private final Map<Integer, Map<String, Integer>> waitingByRouter = new HashMap<>();
    private final Map<String, Double> delivered = new TreeMap<>();
    private final List<Running> running = new ArrayList<>();
    private final Map<String, Integer> runningByTarget = new HashMap<>();
    private long lastRequestNumber;
    private int maxOvercommit;

    Simulation(SimulatedSite site, SimulatedScheduler scheduler, long seed) {
        this.site = site;
        this.scheduler = scheduler;
        this.random = new Random(seed);
        site.routersByOrganisation()
                .keySet()
                .forEach(organisation -> delivered.put(organisation, 0.0));
    }

    /** Runs the warm-up and then the measured period. */
    SimulationResult run(int warmUpSeconds, int seconds) {
        return run(warmUpSeconds, seconds, now -> {});
    }

    /** Runs with an action at the start of each step, which receives the current time. */
    SimulationResult run(int warmUpSeconds, int seconds, LongConsumer beforeStep) {
        double gap = 0;
        double utilisedSlots = 0;
        long steps = 0;
        Map<String, Double> start = null;
        long from = warmUpSeconds * 1_000L;
        for (long now = 0; now < from + seconds * 1_000L; now += STEP_MILLIS) {
            beforeStep.accept(now);
            step(now);
            if (now >= from) {
                start = start == null ? Map.copyOf(delivered) : start;
                utilisedSlots += Math.min(running.size(), site.slots());
                steps++;
                gap = Math.max(gap, gapSince(start));
            }
        }
        return new SimulationResult(
                gap, utilisedSlots / steps / site.slots(), maxOvercommit, delivered);
    }

    /** Removes the running and waiting requests of a router whose process ended. */
    void removeRouter(int router) {
        for (Running active : List.copyOf(running)) {
            if (active.start.router() == router) {
                running.remove(active);
                runningByTarget.merge(active.start.target(), -1, Integer::sum);
            }
        }
        for (Map.Entry<Integer, Map<String, Integer>> entry : waitingByRouter.entrySet()) {
            if (entry.getKey() == router) {
                entry.getValue()
                        .forEach((name, count) -> waiting.merge(name, -count, Integer::sum));
                entry.getValue().clear();
            }
        }
    }

    private double gapSince(Map<String, Double> start) {
        double least = Double.POSITIVE_INFINITY;
        double most = Double.NEGATIVE_INFINITY;
        for (Map.Entry<String, Double> entry : delivered.entrySet()) {
            double tokensSinceStart = entry.getValue() - start.get(entry.getKey());
            least = Math.min(least, tokensSinceStart);
            most = Math.max(most, tokensSinceStart);
        }
        return most - least;
    }

    private void step(long now) {
        fillQueues(now);
        for (RequestStart start : scheduler.step(now)) {
            waiting.merge(start.request().organisation(), -1, Integer::sum);
            waitingByRouter
                    .get(start.router())
                    .merge(start.request().organisation(), -1, Integer::sum);
            running.add(new Running(start, sampleCost()));
            int count = runningByTarget.merge(start.target(), 1, Integer::sum);
            maxOvercommit = Math.max(maxOvercommit, count - site.targets().get(0).slots());
        }
        for (Running active : List.copyOf(running)) {
            double tokens =
                    Math.min(active.remainingTokens, TOKENS_PER_SECOND * STEP_MILLIS / 1000);
            active.remainingTokens -= tokens;
            String organisation = active.start.request().organisation();
            delivered.merge(organisation, tokens, Double::sum);
            scheduler.served(active.start.router(), organisation, tokens);
            if (active.remainingTokens <= 0) {
                running.remove(active);
                runningByTarget.merge(active.start.target(), -1, Integer::sum);
                scheduler.finished(active.start, now);
            }
        }
    }

    private void fillQueues(long now) {
        for (Map.Entry<String, List<Integer>> entry :
                new TreeMap<>(site.routersByOrganisation()).entrySet()) {
            String organisation = entry.getKey();
            List<Integer> routers = entry.getValue();
            while (waiting.getOrDefault(organisation, 0) < site.queueDepth()) {
                lastRequestNumber++;
                waiting.merge(organisation, 1, Integer::sum);
                WaitingRequest request =
                        new WaitingRequest(
                                lastRequestNumber, SimulatedSite.POOL, organisation, 0, 0, now, 1);
                int router = routers.get((int) (lastRequestNumber % routers.size()));
                waitingByRouter
                        .computeIfAbsent(router, key -> new HashMap<>())
                        .merge(organisation, 1, Integer::sum);
                scheduler.arrived(router, request, now);
            }
        }
    }

    private double sampleCost() {
        double tokens = MEDIAN_TOKENS * Math.exp(SIGMA * random.nextGaussian());
        return Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, tokens));
    }

    private static final class Running {

        private final RequestStart start;
        private double remainingTokens;

        private Running(RequestStart start, double tokens) {
            this.start = start;
            this.remainingTokens = tokens;
        }
    }
}
