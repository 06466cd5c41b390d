package org.martenwell.balance;

/**
 * Estimates the work that peers have sent to each target since their last reports. It assumes that
 * requests are spread evenly over the gateways, so that each peer sends as much as this one.
 */
public final class UnreportedWork {

    /** The weight of the last observation in the mean numbers of running requests. */
    private static final double SMOOTHING = 0.05;

    /** The time constant of the decaying sum of sent work, in milliseconds. */
    private static final double DECAY_MILLIS = 2_000;

    /**
     * The decaying sum of the work that this gateway has sent, in milliseconds, as of {@link
     * #lastMillis}.
     */
    private double sentMillis;

    /** The time at which work was last sent, in milliseconds. */
    private long lastMillis;

    /** The mean number of own requests that have not ended. */
    private double ownRunning;

    /** The mean number of those of all peers. */
    private double peersRunning;

    /** The number of other gateways. */
    private int otherGateways;

    /** The mean age of the peers' reports, in milliseconds. */
    private double reportAgeMillis;

    /** Creates an estimate for a single gateway. */
    public UnreportedWork() {}

    /**
     * Updates the size of the fleet.
     *
     * @param others The number of other gateways.
     * @param averageAgeMillis The mean age of their reports, in milliseconds.
     */
    public void updateFleet(int others, double averageAgeMillis) {
        otherGateways = others;
        reportAgeMillis = averageAgeMillis;
    }

    /**
     * Records a request that this gateway sent.
     *
     * @param workMillis The time for which it occupies its target, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    public void sent(double workMillis, long now) {
        sentMillis = decayedMillis(now) + workMillis;
        lastMillis = now;
    }

    /**
     * Estimates the unreported work per target.
     *
     * @param targets The number of targets.
     * @param now The current time, in milliseconds.
     * @return The mean work of a target, in milliseconds; 0 if there are no targets.
     */
    public double perTarget(int targets, long now) {
        return targets == 0
                ? 0
                : decayedMillis(now) / DECAY_MILLIS * otherGateways * reportAgeMillis / targets;
    }

    /**
     * Updates the ratio of the requests of peers to those of this gateway.
     *
     * @param own The requests of this gateway that have not ended.
     * @param peers Those of all peers by their reports.
     */
    public void observeRunning(long own, long peers) {
        ownRunning += SMOOTHING * (own - ownRunning);
        peersRunning += SMOOTHING * (peers - peersRunning);
    }

    /**
     * Estimates the unreported work per target, also if this gateway gets more requests than its
     * peers.
     *
     * @param targets The number of targets.
     * @param now The current time, in milliseconds.
     * @return The mean work of a target, in milliseconds; 0 if there are no targets.
     */
    public double scaledPerTarget(int targets, long now) {
        double ratio = peersRunning / Math.max(1, ownRunning);
        return otherGateways == 0
                ? 0
                : perTarget(targets, now) * Math.min(1, ratio / otherGateways);
    }

    /**
     * Returns the decaying sum of sent work.
     *
     * @param now The current time, in milliseconds.
     * @return The work in milliseconds.
     */
    private double decayedMillis(long now) {
        return sentMillis * Math.exp(-Math.max(0, now - lastMillis) / DECAY_MILLIS);
    }
}
