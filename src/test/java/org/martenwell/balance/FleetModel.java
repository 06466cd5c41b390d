package org.martenwell.balance;

import java.util.List;
import org.martenwell.route.EngineCapacity;

/**
 * The requests and the engines of a simulated fleet.
 *
 * @param kinds The kinds of requests.
 * @param phases The mixes of requests, in order of time.
 * @param capacity The capacity of an engine.
 * @param maxQueued The length of the queue of an engine.
 * @param prefillRate The prefill rate of an engine of the usual speed, in tokens per millisecond.
 * @param chunkTokens The size of a chunk of a prompt, or 0 for engines that process prompts whole
 *     and don't delay running requests by them.
 * @param baseMillis The time to the first event of an empty prompt, in milliseconds.
 * @param tokenMillis The time per generated token at an idle engine, in milliseconds.
 * @param tokenMillisPerSlot The increase of that time for each running request, in milliseconds.
 * @param speeds The speeds of engines, which take turns; 1 is the usual one.
 * @param slowPeriods {@code true} if engines have periods at lower speed.
 * @param lossMillis The time at which every other engine is lost, in milliseconds, or 0 for none.
 */
record FleetModel(
        List<RequestKind> kinds,
        List<Phase> phases,
        EngineCapacity capacity,
        int maxQueued,
        double prefillRate,
        int chunkTokens,
        double baseMillis,
        double tokenMillis,
        double tokenMillisPerSlot,
        List<Double> speeds,
        boolean slowPeriods,
        double lossMillis) {

    /**
     * A mix of requests.
     *
     * @param fromMillis The time at which it begins, in milliseconds.
     * @param rateFactor The factor on the requests per second.
     * @param shares The share of each kind.
     */
    record Phase(double fromMillis, double rateFactor, List<Double> shares) {}

    /** The time to prefill a chunk of a prompt, with the token between chunks. */
    double effectivePrefillRate() {
        return chunkTokens == 0
                ? prefillRate
                : chunkTokens / (chunkTokens / prefillRate + tokenMillis);
    }

    Phase phase(double at) {
        Phase found = phases.get(0);
        for (Phase each : phases) {
            found = each.fromMillis() <= at ? each : found;
        }
        return found;
    }
}
