package org.martenwell.offload;

/** Decides how much processor time a gateway offers to peers, and whether it accepts requests. */
public final class SpareTime {

    /**
     * The use up to which time is offered, as a fraction of the granted time; below the 0.7 that a
     * gateway aims at, so that requests of peers alone never make it offload its own.
     */
    static final double OFFERED_USE = 0.6;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The granted processors, a fraction of one on small boxes. */
    private final double processors;

    private final OffloadController controller;

    private boolean stopping;

    /**
     * Creates an offer.
     *
     * @param processors The processor time that the box grants, in processors.
     * @param controller The controller of the same gateway, which measures its use.
     */
    public SpareTime(double processors, OffloadController controller) {
        this.processors = processors;
        this.controller = controller;
    }

    /** Offers nothing from now on, since the gateway stops. */
    public void stop() {
        stopping = true;
    }

    /**
     * Returns the processor time to offer.
     *
     * @param refusing {@code true} while the gateway refuses requests at its limits.
     * @return The time in milliseconds per second, 0 if requests of peers would be rejected.
     */
    public int millis(boolean refusing) {
        double spare = (OFFERED_USE - controller.meanUse()) * processors * MILLIS_PER_SECOND;
        return controller.measured() && accepts(refusing) ? (int) Math.max(0, spare) : 0;
    }

    /**
     * Returns whether a request of a peer is accepted. Requests that were sent by an older offer
     * are, up to the use at which the gateway would offload its own.
     *
     * @param refusing {@code true} while the gateway refuses requests at its limits.
     * @return {@code true} if it is.
     */
    public boolean accepts(boolean refusing) {
        return !stopping
                && !refusing
                && controller.fraction() == 0
                && controller.meanUse() < OffloadController.AIMED_USE;
    }
}
