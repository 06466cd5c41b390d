package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/** Receives messages and connection events of a {@link PeerNetwork}. */
public interface PeerListener {

    /**
     * Called for each message received.
     *
     * @param message The message.
     */
    void receive(PeerMessage message);

    /**
     * Called when an outgoing connection to a peer is established, before any message is sent over
     * it.
     *
     * @param peer The peer's name.
     */
    void peerConnected(String peer);
}
