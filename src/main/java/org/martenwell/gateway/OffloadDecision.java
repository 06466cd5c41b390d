package org.martenwell.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.martenwell.offload.OffloadController;
import org.martenwell.offload.OffloadPeers;
import org.martenwell.offload.SpareTime;

/** Decides on each request whether a peer is to handle it, and on each request of a peer. */
final class OffloadDecision implements OffloadTargets {

    private final OffloadController controller;

    private final OffloadPeers peers;

    private final SpareTime spare;

    /** Returns whether the gateway refuses requests at its limits. */
    private final BooleanSupplier refusing;

    /** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
    private final DoubleSupplier random;

    /**
     * Creates a decision.
     *
     * @param controller Determines the fraction of requests to offload.
     * @param peers Chooses the peers.
     * @param spare Determines whether requests of peers are accepted.
     * @param refusing Returns whether the gateway refuses requests at its limits.
     * @param random Returns random numbers from 0 (inclusive) to 1 (exclusive).
     */
    OffloadDecision(
            OffloadController controller,
            OffloadPeers peers,
            SpareTime spare,
            BooleanSupplier refusing,
            DoubleSupplier random) {
        this.controller = controller;
        this.peers = peers;
        this.spare = spare;
        this.refusing = refusing;
        this.random = random;
    }

    /**
     * Chooses the peer that is to handle a new request of a caller.
     *
     * @param workMillis The processor time that the request needs at the peer, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return The peer's name, or empty if this gateway is to handle the request.
     */
    @Override
    public Optional<String> choose(double workMillis, long now) {
        return random.getAsDouble() < controller.fraction()
                ? peers.choose(random.getAsDouble(), workMillis, now)
                : Optional.empty();
    }

    /**
     * Records that a peer rejected a request.
     *
     * @param peer The peer's name.
     * @param now The current time, in milliseconds.
     */
    @Override
    public void rejected(String peer, long now) {
        peers.rejected(peer, now);
    }

    /**
     * Records that the connection to a peer failed or that the peer was silent.
     *
     * @param peer The peer's name.
     * @param now The current time, in milliseconds.
     */
    @Override
    public void failed(String peer, long now) {
        peers.failed(peer, now);
    }

    @Override
    public boolean acceptsOffloaded() {
        return spare.accepts(refusing.getAsBoolean());
    }
}
