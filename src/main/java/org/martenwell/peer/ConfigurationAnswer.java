package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Tells a peer the configuration in force.
 *
 * @param version The version.
 * @param text The configuration as it is stored.
 */
public record ConfigurationAnswer(long version, String text) implements PeerMessage {}
