package org.martenwell.peer;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * Request for the versions at which streams began. The response is a {@link StreamOriginNotice} for
 * those that are known, and a {@link StreamOriginDenial} for the others.
 *
 * @param asker The gateway that asks.
 * @param attempts The keys of the attempts that brought the first events.
 */
public record StreamOriginRequest(String asker, List<Long> attempts) implements PeerMessage {}
