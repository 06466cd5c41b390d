package org.martenwell.share;

/**
 * The fair share that a request falls within. A request further beyond its share may use less of a
 * target's capacity.
 */
public enum ShareTier {

    /** Within the organisation's share of the promised capacity. */
    PROMISED(0.96, 0.3),

    /** Beyond that, but within its share of the observed capacity. */
    OBSERVED(0.8, 0.25),

    /** Beyond both shares. */
    BEYOND(0.55, 0.15);

    private final double fillFraction;

    private final double waitFraction;

    ShareTier(double fillFraction, double waitFraction) {
        this.fillFraction = fillFraction;
        this.waitFraction = waitFraction;
    }

    /**
     * Returns the limit up to which requests of this tier may fill a target's slots and memory.
     *
     * @return The fraction, from 0 to 1.
     */
    public double fillFraction() {
        return fillFraction;
    }

    /**
     * Returns the backlog of a target that is acceptable in any case.
     *
     * @return The backlog as a fraction of the request's latency objective, from 0 to 1.
     */
    public double waitFraction() {
        return waitFraction;
    }
}
