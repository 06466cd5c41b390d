package org.martenwell.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Values that a gateway adds to the headers of a request when it forwards it to a target.
 *
 * @param target The id of the target that the request is meant for.
 * @param remainingMillis The time until the request times out, in milliseconds, or empty if the
 *     caller stated no timeout.
 * @param organisation The caller's organisation, or empty on an anonymous route.
 * @param lastEventId The id of the last event that the caller received, with one character per
 *     byte, if a stream is resumed.
 * @param copyFrom The address of the engine to copy cached prompt parts from, or empty.
 */
public record ForwardMetadata(
        String target,
        Optional<Long> remainingMillis,
        Optional<String> organisation,
        Optional<String> lastEventId,
        Optional<InetSocketAddress> copyFrom) {}
