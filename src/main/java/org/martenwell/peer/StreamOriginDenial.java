package org.martenwell.peer;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * Response to a {@link StreamOriginRequest} for streams whose versions neither the sender nor, if
 * it is a relay, the gateways behind it know.
 *
 * @param sender The gateway that was asked.
 * @param attempts The keys of the attempts that brought the first events.
 */
public record StreamOriginDenial(String sender, List<Long> attempts) implements PeerMessage {}
