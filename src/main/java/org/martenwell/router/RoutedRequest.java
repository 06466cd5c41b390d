package org.martenwell.router;

import org.martenwell.configuration.Contract;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Pool;
import org.martenwell.target.TargetRequest;

/**
 * A request that a policy admitted.
 *
 * @param message What is sent to the target.
 * @param organisation The organisation that it belongs to.
 * @param contract The organisation's contract.
 * @param pool The pool that serves it.
 * @param prefix The hash of the organisation and the leading block of the prompt, or 0.
 * @param streamed {@code true} if the answer is a stream of server-sent events.
 * @param unitsPerToken The service that a token delivers, in units, or 0 for a plain service.
 * @param unitsPerSecond The service that a second delivers while tokens are not seen, in units.
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
