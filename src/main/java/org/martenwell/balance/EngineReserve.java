package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reserves engines for requests within fair shares. Engines process prefills in order of arrival,
 * and running generations pause meanwhile, so a request beyond its share delays all later ones on
 * the same engine. The number of reserved engines follows the prefill work of the requests within
 * shares; requests beyond shares use the other engines. All gateways reserve the same engines
 * because they order them by the same hash.
 */
public final class EngineReserve {

    /**
     * The initial prefill time per token of cost, in milliseconds. It assumes that prompts make up
     * half of the cost.
     */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.5 / PrefillRate.INITIAL_RATE;

    /** The factor by which earlier requests lose weight with each new one. */
    private static final double DECAY = 0.98;

    /**
     * The weight of the initial prefill time, in tokens of cost; equal to about a dozen requests.
     */
    private static final double INITIAL_TOKENS = 100_000;

    /** The fraction of required engines up to which at least one engine stays unreserved. */
    private static final double SPARE_GUARANTEE_FRACTION = 0.5;

    /** The prefill time of requests within shares, as a decaying sum in milliseconds. */
    private double prefillMillis = INITIAL_MILLIS_PER_TOKEN * INITIAL_TOKENS;

    /** The cost of the same requests, as a decaying sum in tokens. */
    private double costTokens = INITIAL_TOKENS;

    /** Creates a reserve without any request. */
    public EngineReserve() {}

    /**
     * Records a request within its organisation's share that was sent to an engine.
     *
     * @param promptMillis The time for the prefill of its prompt, in milliseconds.
     * @param cost The cost of the request, in tokens.
     */
    public void sent(double promptMillis, double cost) {
        prefillMillis = DECAY * prefillMillis + promptMillis;
        costTokens = DECAY * costTokens + cost;
    }

    /**
     * Returns the engines that requests beyond their shares may use.
     *
     * @param engines The engines that accept requests.
     * @param tokensPerMilli The demand within fair shares, in tokens of cost per millisecond.
     * @return The engines that are not reserved.
     */
    public List<TargetLoad> unreserved(List<TargetLoad> engines, double tokensPerMilli) {
        int reservedCount =
                reservedCount(engines.size(), tokensPerMilli * prefillMillis / costTokens);
        if (reservedCount >= engines.size()) {
            return List.of();
        }
        List<TargetLoad> ordered = new ArrayList<>(engines);
        ordered.sort(Comparator.comparingLong(TargetLoad::idHash));
        return ordered.subList(reservedCount, ordered.size());
    }

    /**
     * Computes the number of reserved engines.
     *
     * @param engines The number of engines that accept requests.
     * @param requiredEngines The number of engines that the prefills within shares occupy.
     * @return The number, which may exceed that of the engines; if at most half of them are
     *     required, at least one is left unreserved.
     */
    private static int reservedCount(int engines, double requiredEngines) {
        int requiredCount = (int) Math.ceil(requiredEngines);
        return requiredEngines <= SPARE_GUARANTEE_FRACTION * engines
                ? Math.min(requiredCount, engines - 1)
                : requiredCount;
    }
}
