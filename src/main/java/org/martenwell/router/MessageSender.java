package org.martenwell.router;

import org.martenwell.message.PeerMessage;

/** Sends messages to peers. Delivery is not guaranteed. */
public interface MessageSender {

    /**
     * Sends a message to one peer.
     *
     * @param peer The peer's name.
     * @param message The message.
     */
    void send(String peer, PeerMessage message);

    /**
     * Sends a message to all peers.
     *
     * @param message The message.
     */
    void broadcast(PeerMessage message);
}
