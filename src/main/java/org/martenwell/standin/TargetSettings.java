package org.martenwell.standin;

import java.util.List;
import org.martenwell.configuration.PoolKind;

/**
 * The settings of a target stand-in.
 *
 * @param name The name of the target.
 * @param address The listen address.
 * @param kind The kind of the target: models or plain services.
 * @param serves The names of the models or services.
 * @param slots The maximum number of concurrent requests.
 * @param tokensPerSecond The tokens per second of each running request.
 * @param medianTokens The median length of responses, in tokens; lengths are log-normally
 *     distributed.
 * @param maxTokens The maximum length of a response, in tokens.
 * @param serviceMillis The duration of a request to a plain service, in milliseconds.
 * @param seed The seed of the response lengths.
 * @param checksFences {@code true} to refuse orders with a lower fencing token than an earlier
 *     order.
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
