package org.martenwell.router;

import org.martenwell.configuration.Contract;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Pool;
import org.martenwell.target.TargetRequest;

/**
 * Request admitted by a policy.
 *
 * @param message The message for the target.
 * @param organisation The organisation that sent the request.
 * @param contract The organisation's contract.
 * @param pool The pool of targets that serve the request.
 * @param prefix A hash of the organisation and the first block of the prompt, or 0 if there is no
 *     prompt.
 * @param streamed {@code true} if the response is a stream of server-sent events.
 * @param unitsPerToken The service units that an output token counts for, or 0 for a service
 *     without tokens.
 * @param unitsPerSecond The service units that a second counts for while tokens can't be counted.
 */
public record RoutedRequest(
        TargetRequest message,
        Organisation organisation,
        Contract contract,
        Pool pool,
        long prefix,
        boolean streamed,
        double unitsPerToken,
        double unitsPerSecond) {}
