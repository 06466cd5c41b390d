package org.martenwell.balance;

/**
 * Estimates how much work the other gateways of a fleet have put on each target since they last
 * told of it. Callers come to all gateways alike, so the others together send what this one sends
 * as often as there are others.
 */
public final class UnseenWork {

    /** Over how long this gateway's own work is averaged, in milliseconds. */
    private static final double MEMORY_MILLIS = 2_000;

    /** The work that this gateway sent, the last counting most, in milliseconds of a target. */
    private double sentMillis;

    /** When work was last sent, in milliseconds. */
    private long lastMillis;

    /** How many other gateways there are. */
    private int others;

    /** How old what they told is on average, in milliseconds. */
    private double ageMillis;

    /** Creates an estimate for a gateway that is alone. */
    public UnseenWork() {}

    /**
     * Changes the fleet.
     *
     * @param changedOthers How many other gateways there are.
     * @param changedAgeMillis How old what they told is on average, in milliseconds.
     */
    public void fleet(int changedOthers, double changedAgeMillis) {
        others = changedOthers;
        ageMillis = changedAgeMillis;
    }

    /**
     * Notes that this gateway sent a request.
     *
     * @param workMillis For how long it keeps its target busy, in milliseconds.
     * @param now The present time, in milliseconds.
     */
    public void sent(double workMillis, long now) {
        sentMillis = present(now) + workMillis;
        lastMillis = now;
    }

    /**
     * Returns how much work is on each target on average that is not known of.
     *
     * @param targets How many targets there are.
     * @param now The present time, in milliseconds.
     * @return The work in milliseconds of a target.
     */
    public double perTarget(int targets, long now) {
        return targets == 0 ? 0 : present(now) / MEMORY_MILLIS * others * ageMillis / targets;
    }

    /**
     * Returns what is left of the work that this gateway sent.
     *
     * @param now The present time, in milliseconds.
     * @return The work in milliseconds of a target.
     */
    private double present(long now) {
        return sentMillis * Math.exp(-Math.max(0, now - lastMillis) / MEMORY_MILLIS);
    }
}
