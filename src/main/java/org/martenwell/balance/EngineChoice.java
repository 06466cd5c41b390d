package org.martenwell.balance;

import java.util.Optional;

/**
 * The placement of a request on a model engine.
 *
 * @param load The chosen engine.
 * @param prefillTokens The tokens of the prompt that are not in the engine's cache and need
 *     prefill.
 * @param backlogMillis The estimated time for which the engine is busy before the request, in
 *     milliseconds.
 * @param copyFrom The engine from which cached parts of the prompt are copied, or empty if none.
 * @param interferenceMillis The cost that the {@link PlacementRule} added, in milliseconds.
 */
public record EngineChoice(
        TargetLoad load,
        long prefillTokens,
        double backlogMillis,
        Optional<TargetLoad> copyFrom,
        double interferenceMillis) {}
