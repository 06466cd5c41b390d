package org.martenwell.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Divides what a gateway at its limits admits among the organisations whose requests arrive there.
 * Each gets as much as any other, what it is served at other gateways included, unless it requests
 * less. The class is not thread-safe.
 */
public final class AdmissionShares {

    /** The length of the window in which requests are summed up, in milliseconds. */
    private static final long WINDOW_MILLIS = 1_000;

    /** The age at which the level is recomputed, in milliseconds. */
    private static final long REFRESH_MILLIS = 25;

    /** The least cost of a request, in tokens: also a request without a prompt takes time. */
    private static final double MIN_COST_TOKENS = 500;

    /** The cost of the requests that arrived here, by organisation. */
    private final Map<String, SlidingSum> requested = new HashMap<>();

    /** Returns what an organisation is served at other gateways, in tokens per second. */
    private final ToDoubleFunction<String> servedElsewhere;

    /** The sums of the window at the last computation, by organisation. */
    private Map<String, Demand> demands = Map.of();

    /** The service up to which each organisation is admitted, in tokens per second. */
    private double level = Double.POSITIVE_INFINITY;

    /** The time of the last computation, in milliseconds. */
    private long computedMillis = Long.MIN_VALUE / 2;

    /** The refused fraction of the last computation. */
    private double computedFraction;

    /**
     * The demand of one organisation in tokens per second.
     *
     * @param here The cost of its requests at this gateway.
     * @param elsewhere The cost of those served at other gateways.
     */
    private record Demand(double here, double elsewhere) {

        /** Returns what is admitted here at a level. */
        private double admitted(double level) {
            return Math.min(here, Math.max(0, level - elsewhere));
        }
    }

    /**
     * A change of the rate at which the admitted requests grow with the level.
     *
     * @param level The level at which the rate changes.
     * @param change The number of organisations by which it changes.
     */
    private record Step(double level, int change) {}

    /**
     * Creates shares without any request.
     *
     * @param servedElsewhere Returns what an organisation is served at other gateways, in tokens
     *     per second.
     */
    public AdmissionShares(ToDoubleFunction<String> servedElsewhere) {
        this.servedElsewhere = servedElsewhere;
    }

    /**
     * Records a request that arrived.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens, 0 without a prompt.
     * @param now The current time, in milliseconds.
     */
    public void requested(String organisation, double tokens, long now) {
        requested
                .computeIfAbsent(organisation, name -> new SlidingSum(WINDOW_MILLIS))
                .add(Math.max(MIN_COST_TOKENS, tokens), now);
    }

    /**
     * Returns the fraction of an organisation's requests to refuse.
     *
     * @param organisation The organisation.
     * @param refusedFraction The fraction of all requests to refuse, from 0 to 1.
     * @param now The current time, in milliseconds.
     * @return The fraction, from 0 to 1.
     */
    public double refusedFraction(String organisation, double refusedFraction, long now) {
        if (refusedFraction <= 0) {
            return 0;
        }
        if (now - computedMillis >= REFRESH_MILLIS
                || refusedFraction != computedFraction
                || !demands.containsKey(organisation)) {
            compute(refusedFraction, now);
        }
        Demand demand = demands.get(organisation);
        return demand == null ? refusedFraction : 1 - demand.admitted(level) / demand.here();
    }

    private void compute(double refusedFraction, long now) {
        Map<String, Demand> current = new HashMap<>();
        requested
                .entrySet()
                .removeIf(
                        each -> {
                            double sum = each.getValue().sum(now);
                            if (sum > 0) {
                                current.put(
                                        each.getKey(),
                                        new Demand(
                                                sum, servedElsewhere.applyAsDouble(each.getKey())));
                            }
                            return sum <= 0;
                        });
        double total = current.values().stream().mapToDouble(Demand::here).sum();
        demands = current;
        level = level(current, (1 - refusedFraction) * total);
        computedFraction = refusedFraction;
        computedMillis = now;
    }

    /** Returns the level at which the admitted requests of all organisations sum up to a total. */
    private static double level(Map<String, Demand> demands, double total) {
        List<Step> steps = new ArrayList<>();
        for (Demand each : demands.values()) {
            steps.add(new Step(each.elsewhere(), 1));
            steps.add(new Step(each.elsewhere() + each.here(), -1));
        }
        steps.sort(Comparator.comparingDouble(Step::level));
        double admitted = 0;
        double level = 0;
        int rate = 0;
        for (Step each : steps) {
            double next = admitted + rate * (each.level() - level);
            if (rate > 0 && next >= total) {
                return level + (total - admitted) / rate;
            }
            admitted = next;
            level = each.level();
            rate += each.change();
        }
        return level;
    }
}
