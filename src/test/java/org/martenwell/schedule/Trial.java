package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * Drives one way to schedule with always-backlogged organisations whose costs are log-normal and
 * known only at the end. Time goes in steps, so a run depends on nothing but its seed.
 */
final class Trial {

    static final long STEP_MILLIS = 2;

    private static final double RATE = 36;
    private static final double MEDIAN = 200;
    private static final double SIGMA = 1.2;
    private static final double LEAST = 40;
    private static final double MOST = 4_000;

    private final TrialSite site;
    private final TrialScheduler scheduler;
    private final Random random;
    private final Map<String, Integer> waiting = new HashMap<>();
    private final Map<Integer, Map<String, Integer>> waitingAt = new HashMap<>();
    private final Map<String, Double> delivered = new TreeMap<>();
    private final List<Running> running = new ArrayList<>();
    private final Map<String, Integer> runningAt = new HashMap<>();
    private long number;
    private int overCommitted;

    Trial(TrialSite site, TrialScheduler scheduler, long seed) {
        this.site = site;
        this.scheduler = scheduler;
        this.random = new Random(seed);
        site.spread().keySet().forEach(each -> delivered.put(each, 0.0));
    }

    /** Runs for some seconds after a warm-up of some seconds. */
    TrialResult run(int warmUpSeconds, int seconds) {
        return run(warmUpSeconds, seconds, now -> {});
    }

    /** Runs and does something at the start of each step. */
    TrialResult run(int warmUpSeconds, int seconds, LongConsumer atStep) {
        double gap = 0;
        double used = 0;
        long steps = 0;
        Map<String, Double> start = null;
        long from = warmUpSeconds * 1_000L;
        for (long now = 0; now < from + seconds * 1_000L; now += STEP_MILLIS) {
            atStep.accept(now);
            step(now);
            if (now >= from) {
                start = start == null ? Map.copyOf(delivered) : start;
                used += Math.min(running.size(), site.slots());
                steps++;
                gap = Math.max(gap, gapSince(start));
            }
        }
        return new TrialResult(gap, used / steps / site.slots(), overCommitted, delivered);
    }

    /** Ends what runs and waits at a router, because its process ended. */
    void dropRouter(int router) {
        for (Running each : List.copyOf(running)) {
            if (each.start.router() == router) {
                running.remove(each);
                runningAt.merge(each.start.target(), -1, Integer::sum);
            }
        }
        for (Map.Entry<Integer, Map<String, Integer>> entry : waitingAt.entrySet()) {
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
            double since = entry.getValue() - start.get(entry.getKey());
            least = Math.min(least, since);
            most = Math.max(most, since);
        }
        return most - least;
    }

    private void step(long now) {
        arrive(now);
        for (TrialStart start : scheduler.step(now)) {
            waiting.merge(start.request().organisation(), -1, Integer::sum);
            waitingAt.get(start.router()).merge(start.request().organisation(), -1, Integer::sum);
            running.add(new Running(start, cost()));
            int count = runningAt.merge(start.target(), 1, Integer::sum);
            overCommitted = Math.max(overCommitted, count - site.targets().get(0).slots());
        }
        for (Running each : List.copyOf(running)) {
            double units = Math.min(each.left, RATE * STEP_MILLIS / 1000);
            each.left -= units;
            String organisation = each.start.request().organisation();
            delivered.merge(organisation, units, Double::sum);
            scheduler.served(each.start.router(), organisation, units);
            if (each.left <= 0) {
                running.remove(each);
                runningAt.merge(each.start.target(), -1, Integer::sum);
                scheduler.finished(each.start, now);
            }
        }
    }

    private void arrive(long now) {
        for (Map.Entry<String, List<Integer>> entry : new TreeMap<>(site.spread()).entrySet()) {
            String organisation = entry.getKey();
            List<Integer> routers = entry.getValue();
            while (waiting.getOrDefault(organisation, 0) < site.depth()) {
                number++;
                waiting.merge(organisation, 1, Integer::sum);
                WaitingRequest request =
                        new WaitingRequest(number, TrialSite.POOL, organisation, 0, 0, now, 1);
                int router = routers.get((int) (number % routers.size()));
                waitingAt
                        .computeIfAbsent(router, key -> new HashMap<>())
                        .merge(organisation, 1, Integer::sum);
                scheduler.arrived(router, request, now);
            }
        }
    }

    private double cost() {
        double drawn = MEDIAN * Math.exp(SIGMA * random.nextGaussian());
        return Math.max(LEAST, Math.min(MOST, drawn));
    }

    /** A request that runs, with the tokens that are left. */
    private static final class Running {

        private final TrialStart start;
        private double left;

        private Running(TrialStart start, double cost) {
            this.start = start;
            this.left = cost;
        }
    }
}
