package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Request for the configuration of a peer.
 *
 * @param router The name of the requesting router or gateway.
 * @param newerThan The active version of the sender; a peer responds only with a newer one.
 */
public record ConfigurationRequest(String router, long newerThan) implements PeerMessage {}
