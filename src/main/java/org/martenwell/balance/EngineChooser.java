package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.martenwell.route.EngineCapacity;
import org.martenwell.share.ShareTier;

/**
 * Places requests on model engines: on the one with the lowest cost among those that have capacity
 * and can produce the first event in time. The cost is an estimate in milliseconds from the
 * backlog, the prefill, the occupied slots and the recent failures.
 *
 * <p>The loads reported by peers are out of date by some time. If all gateways chose the cheapest
 * engine, they would overload the same engines until their next reports. Random noise on the costs,
 * in proportion to the work that may have been sent since, spreads the requests. In a replay of 13
 * requests per second for each of 53 engines, with 95 gateways and reports that are 0.3 s old, 0.99
 * of the requests are answered in time with the noise and 0.60 without.
 */
public final class EngineChooser {

    /** The fraction of an engine's KV cache that requests may fill. */
    private static final double MEMORY_FRACTION = 0.9;

    /** The fraction of the latency objective that the estimated time to the first event may use. */
    private static final double OBJECTIVE_FRACTION = 0.85;

    /** The additional cost of an engine in another failure domain, in milliseconds. */
    private static final double OTHER_DOMAIN_MILLIS = 4;

    /**
     * The additional cost of an engine to which a connection has to be opened, in milliseconds:
     * about a round trip between failure domains of 2.8 ms and the handshake of 1 ms.
     */
    private static final double NEW_CONNECTION_MILLIS = 4;

    /** The additional cost of an engine whose slots are all in use, in milliseconds. */
    private static final double FULL_LOAD_MILLIS = 60;

    /** The additional cost of an engine whose requests all fail, in milliseconds. */
    private static final double ALL_FAILING_MILLIS = 2_000;

    /** The estimated time for copying cached parts between engines, in milliseconds. */
    private static final double COPY_MILLIS = 12;

    /** The least reduction of the cost of the engine that the hash prefers, in milliseconds. */
    private static final double MIN_AFFINITY_MILLIS = 6;

    private final String failureDomain;

    private final Random random;

    /**
     * Creates a chooser.
     *
     * @param failureDomain The failure domain of this gateway.
     * @param random The source of the noise on costs.
     */
    public EngineChooser(String failureDomain, Random random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    /**
     * Computes the work that a request adds to an engine, on the scale of the costs.
     *
     * @param prefillMillis The time for its prefill, in milliseconds.
     * @param slots The number of requests that the engine runs at a time.
     * @return The work in milliseconds.
     */
    public static double workMillis(double prefillMillis, int slots) {
        return prefillMillis + FULL_LOAD_MILLIS / Math.max(1, slots);
    }

    /**
     * Selects the engines with capacity for a request. It is a cheap filter that doesn't look at
     * prompt caches, so that requests can repeat it while they wait for capacity.
     *
     * @param demand The demand of the request.
     * @param tier The fair share that it falls within.
     * @param loads The engines.
     * @param capacity The capacity of each of the service's engines.
     * @param forecast Forecasts the backlog of the engines.
     * @param now The current time, in milliseconds.
     * @return The engines with a free slot, enough memory and an acceptable backlog.
     */
    public List<TargetLoad> withCapacity(
            EngineDemand demand,
            ShareTier tier,
            Collection<TargetLoad> loads,
            EngineCapacity capacity,
            LoadForecast forecast,
            long now) {
        PrefillRate rate = forecast.rate();
        double maxBacklogMillis = allowedBacklogMillis(demand, tier, 0, rate, now);
        List<TargetLoad> found = new ArrayList<>();
        for (TargetLoad each : loads) {
            LoadSums sums = each.totalLoad(now);
            if (hasCapacity(each, sums, demand, tier, capacity)
                    && (sums.requests() == 0
                            || forecast.backlogMillis(
                                            each.prefillMillis(sums.prefillTokens(), rate))
                                    <= maxBacklogMillis)) {
                found.add(each);
            }
        }
        return found;
    }

    /**
     * Chooses the engine with the lowest cost.
     *
     * @param demand The demand of the request.
     * @param tier The fair share that it falls within.
     * @param candidates The engines selected by {@link #withCapacity}.
     * @param cacheLookup The cached parts of the prompt by engine.
     * @param capacity The capacity of each of the service's engines.
     * @param forecast Forecasts the backlog of the engines.
     * @param rule The additional cost of placements.
     * @param now The current time, in milliseconds.
     * @return The choice, or empty if no engine can produce the first event in time.
     */
    public Optional<EngineChoice> choose(
            EngineDemand demand,
            ShareTier tier,
            Collection<TargetLoad> candidates,
            PromptCacheLookup cacheLookup,
            EngineCapacity capacity,
            LoadForecast forecast,
            PlacementRule rule,
            long now) {
        PrefillRate rate = forecast.rate();
        double unreportedMillis = forecast.unreportedMillis();
        double affinity = affinityMillis(demand, cacheLookup, rate);
        EngineChoice best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (TargetLoad each : candidates) {
            LoadSums sums = each.totalLoad(now);
            double backlog = each.prefillMillis(sums.prefillTokens(), rate);
            Optional<TargetLoad> source =
                    capacity.canCopyCache() ? cacheLookup.copySource(each) : Optional.empty();
            long cached = cacheLookup.cachedTokens(source.orElse(each));
            long prefill = demand.promptTokens() - cached;
            double prefillMillis =
                    each.prefillMillis(prefill, rate) + (source.isPresent() ? COPY_MILLIS : 0);
            double ownMillis = forecast.prefillMillis(prefillMillis);
            if (sums.requests() > 0
                    && forecast.backlogMillis(backlog)
                            > allowedBacklogMillis(demand, tier, ownMillis, rate, now)) {
                continue;
            }
            double interference =
                    rule.costMillis(each, rate.millis(prefill), sums.requests(), backlog);
            double cost =
                    backlog
                            + prefillMillis
                            + FULL_LOAD_MILLIS * sums.requests() / slots(each, capacity)
                            + ALL_FAILING_MILLIS * each.health().failureRate(now)
                            + (each.target().failureDomain().equals(failureDomain)
                                    ? 0
                                    : OTHER_DOMAIN_MILLIS)
                            + (each.hasIdleConnection() ? 0 : NEW_CONNECTION_MILLIS)
                            - (cacheLookup.isPreferred(each) ? affinity : 0)
                            - unreportedMillis * Math.log(each.speed().factor())
                            + interference
                            + GumbelNoise.sample(unreportedMillis, random);
            if (cost < bestCost) {
                bestCost = cost;
                best = new EngineChoice(each, prefill, backlog, source, interference);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the reduction of the cost of the engine that the hash prefers for a prompt. Other
     * gateways prefer the same engine, so parts that are cached nowhere yet need prefill only once.
     *
     * @param demand The demand of the request.
     * @param cacheLookup The cached parts of the prompt by engine.
     * @param rate The prefill rate of the engines.
     * @return The reduction in milliseconds.
     */
    private static double affinityMillis(
            EngineDemand demand, PromptCacheLookup cacheLookup, PrefillRate rate) {
        long uncachedTokens =
                Math.max(0, demand.chain().totalTokens() - cacheLookup.maxCachedTokens());
        return Math.max(MIN_AFFINITY_MILLIS, rate.millis(uncachedTokens));
    }

    /**
     * Checks whether an engine has a free slot and enough memory for a request. A request larger
     * than the memory limit is accepted by an idle engine.
     *
     * @param load The engine.
     * @param sums The load of all gateways on the engine.
     * @param demand The demand of the request.
     * @param tier The fair share that it falls within.
     * @param capacity The capacity of each of the service's engines.
     * @return {@code true} if it has both.
     */
    private static boolean hasCapacity(
            TargetLoad load,
            LoadSums sums,
            EngineDemand demand,
            ShareTier tier,
            EngineCapacity capacity) {
        double fillFraction = tier.fillFraction();
        long memory = sums.memoryTokens() + demand.ownTokens() + demand.responseTokens();
        return sums.requests() < fillFraction * slots(load, capacity)
                && (sums.requests() == 0
                        || memory < fillFraction * MEMORY_FRACTION * capacity.memoryTokens());
    }

    /**
     * Returns the largest backlog of an engine that is acceptable for a request.
     *
     * @param demand The demand of the request.
     * @param tier The fair share that it falls within.
     * @param prefillMillis The time for its own prefill, in milliseconds.
     * @param rate The prefill rate of the engines.
     * @param now The current time, in milliseconds.
     * @return The backlog in milliseconds.
     */
    private static double allowedBacklogMillis(
            EngineDemand demand, ShareTier tier, double prefillMillis, PrefillRate rate, long now) {
        double minBacklogMillis = tier.waitFraction() * demand.objectiveMillis();
        if (tier == ShareTier.BEYOND) {
            return minBacklogMillis;
        }
        double remainingMillis =
                OBJECTIVE_FRACTION * demand.objectiveMillis()
                        - (now - demand.arrivedMillis())
                        - rate.baseMillis()
                        - prefillMillis;
        return Math.max(remainingMillis, minBacklogMillis);
    }

    /**
     * Returns the number of requests that an engine runs at a time.
     *
     * @param load The engine.
     * @param capacity The configured capacity, used if the engine has not announced its slots.
     * @return The number of slots.
     */
    private static int slots(TargetLoad load, EngineCapacity capacity) {
        return load.target().slots() > 0 ? load.target().slots() : capacity.slots();
    }
}
