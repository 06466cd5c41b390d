package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Tells a peer that a target takes new work or not.
 *
 * @param target The target.
 * @param open {@code false} if it is leaving or does not answer.
 */
public record TargetNotice(String target, boolean open) implements PeerMessage {}
