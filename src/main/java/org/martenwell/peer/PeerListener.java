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

    /**
     * Called when messages to or from a peer may have been lost: when an established outgoing
     * connection has ended, also by a change of the peers, and when a connection has ended on which
     * the peer sent {@link OffloadMessage}s. It isn't called while the network stops.
     *
     * @param peer The peer's name.
     */
    default void peerDisconnected(String peer) {}
}
