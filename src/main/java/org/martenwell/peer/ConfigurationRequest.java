package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Asks a peer for its configuration.
 *
 * @param router The router that asks.
 * @param above The version that the answer must exceed.
 */
public record ConfigurationRequest(String router, long above) implements PeerMessage {}
