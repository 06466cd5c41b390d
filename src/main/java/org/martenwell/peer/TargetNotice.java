package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Notice that a target started or stopped accepting new requests.
 *
 * @param target The target's name.
 * @param acceptsRequests {@code false} if the target is draining or doesn't respond.
 */
public record TargetNotice(String target, boolean acceptsRequests) implements PeerMessage {}
