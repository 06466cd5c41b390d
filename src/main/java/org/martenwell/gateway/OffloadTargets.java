package org.martenwell.gateway;

import java.util.Optional;

/** The choice of the gateways that requests are offloaded to. */
interface OffloadTargets {

    /**
     * Decides whether a new request is offloaded.
     *
     * @param workMillis The estimated processor time that the request costs, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return The name of the gateway that is to handle it, or empty if this one is.
     */
    Optional<String> choose(double workMillis, long now);

    /**
     * Records that a gateway rejected a request.
     *
     * @param peer The gateway's name.
     * @param now The current time, in milliseconds.
     */
    void rejected(String peer, long now);

    /**
     * Records that a gateway was lost while it handled requests.
     *
     * @param peer The gateway's name.
     * @param now The current time, in milliseconds.
     */
    void failed(String peer, long now);

    /**
     * Returns whether a request of a peer is handled here.
     *
     * @return {@code false} if it is rejected, since this gateway is beyond its own limit.
     */
    default boolean acceptsOffloaded() {
        return true;
    }
}
