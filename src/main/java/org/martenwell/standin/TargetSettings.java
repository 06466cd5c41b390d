package org.martenwell.standin;

import java.util.List;
import org.martenwell.configuration.PoolKind;

/**
 * The settings of a stand-in target.
 *
 * @param name The target's name.
 * @param address Where it listens.
 * @param kind Whether it serves models or plain services.
 * @param serves The models or services.
 * @param slots How many requests it runs at once.
 * @param tokensPerSecond The tokens that each running request gets a second.
 * @param medianTokens The median length of an answer, in tokens; lengths are log-normal.
 * @param maxTokens The longest answer, in tokens.
 * @param serviceMillis How long a request to a plain service takes, in milliseconds.
 * @param seed Seeds the lengths.
 * @param checksFences {@code true} if it refuses orders with a lower fence than one it has seen.
 */
public record TargetSettings(
        String name,
        String address,
        PoolKind kind,
        List<String> serves,
        int slots,
        double tokensPerSecond,
        int medianTokens,
        int maxTokens,
        long serviceMillis,
        long seed,
        boolean checksFences) {}
