package org.martenwell.peer;

import java.util.List;
import org.martenwell.message.PeerMessage;
import org.martenwell.version.StreamOrigin;

/**
 * Versions at which streams began: those of new streams, or the response to a {@link
 * StreamOriginRequest}.
 *
 * @param sender The gateway that sent it first.
 * @param recipient The gateway that asked, to which others forward it; empty for new streams.
 * @param origins The origins.
 */
public record StreamOriginNotice(String sender, String recipient, List<StreamOrigin> origins)
        implements PeerMessage {}
