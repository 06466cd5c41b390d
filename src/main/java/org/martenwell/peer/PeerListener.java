package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/** Is told of what arrives from peers. */
public interface PeerListener {

    /**
     * Called for each message.
     *
     * @param message The message.
     */
    void received(PeerMessage message);

    /**
     * Called when a connection to a peer opened, before anything is sent over it.
     *
     * @param peer The peer's name.
     */
    void connected(String peer);
}
