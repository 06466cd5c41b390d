package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Response to a {@link ConfigurationRequest} with the active configuration.
 *
 * @param version The configuration's version.
 * @param text The configuration as stored, in JSON.
 */
public record ConfigurationResponse(long version, String text) implements PeerMessage {}
