package org.martenwell.share;

/** Which fair share a request is within. The more it exceeds, the less room it may take. */
public enum ShareTier {

    /** Within its share of what the fleet is promised to produce. */
    PROMISED(0.96, 0.3),

    /** Within its share of what the fleet really produces. */
    OBSERVED(0.8, 0.25),

    /** Beyond both. */
    BEYOND(0.55, 0.15);

    /** The part of a target's places that requests may fill. */
    private final double fill;

    /** The part of an objective that a target may be busy before a request. */
    private final double waitPart;

    /**
     * Creates a tier.
     *
     * @param fill The part of a target's places that requests may fill.
     * @param waitPart The part of an objective that a target may be busy before a request.
     */
    ShareTier(double fill, double waitPart) {
        this.fill = fill;
        this.waitPart = waitPart;
    }

    /**
     * Returns the part of a target's places that requests may fill.
     *
     * @return The part.
     */
    public double fill() {
        return fill;
    }

    /**
     * Returns the part of an objective that a target may be busy before a request.
     *
     * @return The part.
     */
    public double waitPart() {
        return waitPart;
    }
}
