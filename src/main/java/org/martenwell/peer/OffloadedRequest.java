package org.martenwell.peer;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A request that its gateway lets another one handle.
 *
 * @param sender The gateway at which the request arrived.
 * @param id The number of the request, unique for the sender.
 * @param configurationVersion The version of the sender's configuration.
 * @param heldMillis The time since the request arrived, in milliseconds.
 * @param method The method.
 * @param target The request target as received, with its query.
 * @param headers The headers in order, with repeats.
 * @param body The body, read-only.
 * @param keepAlive {@code true} if the caller allows a persistent connection.
 * @param chunksAllowed {@code true} if the caller understands chunks.
 */
public record OffloadedRequest(
        String sender,
        long id,
        long configurationVersion,
        long heldMillis,
        String method,
        String target,
        List<HeaderField> headers,
        ByteBuffer body,
        boolean keepAlive,
        boolean chunksAllowed)
        implements OffloadMessage {}
