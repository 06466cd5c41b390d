package org.martenwell.gateway;

import org.martenwell.message.PeerMessage;

/** The direct connections to the gateways that requests are offloaded to or received from. */
interface OffloadLinks {

    /**
     * Returns whether a request may be sent to a gateway, and connects to it if it isn't connected.
     *
     * @param peer The gateway's name.
     * @return {@code true} if it is connected, reads what is sent to it, and knows the messages.
     */
    boolean prepare(String peer);

    /**
     * Keeps a connection to a gateway that has sent a request, and opens one if there is none.
     *
     * @param peer The gateway's name.
     * @return {@code false} if its address is not known.
     */
    boolean keep(String peer);

    /**
     * Returns whether messages can be sent to a gateway.
     *
     * @param peer The gateway's name.
     * @return {@code true} if it is connected.
     */
    boolean connected(String peer);

    /**
     * Returns whether a gateway is connected and reads what is sent to it.
     *
     * @param peer The gateway's name.
     * @return {@code true} if little waits to be written to it.
     */
    boolean hasRoom(String peer);

    /**
     * Sends a message. It is lost if the gateway is not connected.
     *
     * @param peer The gateway's name.
     * @param message The message.
     */
    void send(String peer, PeerMessage message);

    /**
     * Sends a message at once, before the event loop goes on. It is lost if the gateway is not
     * connected.
     *
     * @param peer The gateway's name.
     * @param message The message.
     */
    void sendNow(String peer, PeerMessage message);

    /**
     * Closes the connections over which a gateway has sent requests, so that it learns that they
     * may have been lost.
     *
     * @param peer The gateway's name.
     */
    void closeFrom(String peer);
}
