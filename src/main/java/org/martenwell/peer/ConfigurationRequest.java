package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Request for the configuration of a peer.
 *
 * @param router The name of the requesting router.
 * @param newerThan The version in force at that router; only a newer one is of use.
 */
public record ConfigurationRequest(String router, long newerThan) implements PeerMessage {}
