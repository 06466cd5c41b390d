package org.martenwell.router;

import org.martenwell.message.PeerMessage;

/** Sends messages to peers, without a promise that they arrive. */
public interface MessageSender {

    /**
     * Sends a message to a peer.
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
