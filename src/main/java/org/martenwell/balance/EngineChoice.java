package org.martenwell.balance;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * @param load The target.
 * @param unreadTokens How many tokens of its prompt the target reads.
 * @param backlogMillis How long the target is taken to be busy before it, in milliseconds.
 * @param copyFrom The target that keeps more of the prompt and hands it over, or empty.
 */
public record EngineChoice(
        TargetLoad load, long unreadTokens, double backlogMillis, Optional<TargetLoad> copyFrom) {}
