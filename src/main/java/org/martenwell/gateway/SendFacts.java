package org.martenwell.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * What a gateway tells a target with a request.
 *
 * @param target The id of the target that is meant.
 * @param leftMillis How long the caller still waits, in milliseconds, or empty if it did not say.
 * @param organisation The caller's organisation, or empty on an anonymous route.
 * @param lastEventId The last event that the caller has, if a stream is resumed.
 * @param copyFrom The target that hands over what it keeps of the prompt, or empty.
 */
public record SendFacts(
        String target,
        Optional<Long> leftMillis,
        Optional<String> organisation,
        Optional<String> lastEventId,
        Optional<InetSocketAddress> copyFrom) {}
