package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Statement that a gateway has sent the recipient all stream origins that it needs to know, over
 * the same connection.
 *
 * @param sender The gateway that sent them.
 * @param complete {@code true} if the sender has run for as long as origins are retained, or has
 *     itself received them from a gateway that had.
 */
public record StreamOriginsSent(String sender, boolean complete) implements PeerMessage {}
