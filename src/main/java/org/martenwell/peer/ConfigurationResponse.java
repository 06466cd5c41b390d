package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Response to a {@link ConfigurationRequest} with the active configuration, or with its version
 * alone if it isn't newer than the requested one.
 *
 * @param version The configuration's version.
 * @param text The configuration as stored, in JSON, or an empty string.
 */
public record ConfigurationResponse(long version, String text) implements PeerMessage {}
