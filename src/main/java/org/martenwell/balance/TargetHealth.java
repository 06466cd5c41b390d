package org.martenwell.balance;

/**
 * Judges a target by what became of the requests sent to it. After failures in a row it gets none
 * for a time that doubles; one that fails part of its requests is passed over while others are at
 * hand.
 */
public final class TargetHealth {

    /** How many failures in a row close a target. */
    private static final int CLOSING_FAILURES = 3;

    /** The first time for which it is closed, in milliseconds. */
    private static final long FIRST_CLOSED_MILLIS = 400;

    /** The longest time for which it is closed, in milliseconds. */
    private static final long LONGEST_CLOSED_MILLIS = 3_200;

    /** How much the last outcome weighs in the share of failures. */
    private static final double WEIGHT = 0.15;

    /** How fast the share of failures is forgotten, in milliseconds. */
    private static final double FORGET_MILLIS = 3_000;

    /** How many failures came in a row. */
    private int failures;

    /** Until when the target is closed, in milliseconds. */
    private long closedUntil;

    /** The share of failures, the last ones counting most. */
    private double failureShare;

    /** When the share was last changed, in milliseconds. */
    private long changedMillis;

    /** Creates the health of a target about which nothing is known. */
    public TargetHealth() {}

    /**
     * Notes a good answer.
     *
     * @param now The present time, in milliseconds.
     */
    public void succeeded(long now) {
        failures = 0;
        closedUntil = 0;
        failureShare = failureShare(now) * (1 - WEIGHT);
        changedMillis = now;
    }

    /**
     * Notes a failure.
     *
     * @param now The present time, in milliseconds.
     */
    public void failed(long now) {
        failures++;
        failureShare = failureShare(now) * (1 - WEIGHT) + WEIGHT;
        changedMillis = now;
        if (failures >= CLOSING_FAILURES) {
            int doublings = Math.min(8, failures - CLOSING_FAILURES);
            closedUntil = now + Math.min(LONGEST_CLOSED_MILLIS, FIRST_CLOSED_MILLIS << doublings);
        }
    }

    /**
     * Notes that the target could not be connected to. One such failure closes it: with three, 59
     * gateways failed 2,173 times in 2 s to connect to 15 crashed engines.
     *
     * @param now The present time, in milliseconds.
     */
    public void notReached(long now) {
        failures = Math.max(failures, CLOSING_FAILURES - 1);
        failed(now);
    }

    /**
     * Closes the target for a time, because it says that it is full or is another one.
     *
     * @param now The present time, in milliseconds.
     * @param millis How long, in milliseconds.
     */
    public void close(long now, long millis) {
        closedUntil = Math.max(closedUntil, now + millis);
    }

    /**
     * Tells whether the target takes requests.
     *
     * @param now The present time, in milliseconds.
     * @return {@code true} if it does.
     */
    public boolean open(long now) {
        return now >= closedUntil;
    }

    /**
     * Returns the share of failures.
     *
     * @param now The present time, in milliseconds.
     * @return The share from 0 to 1, which falls with time.
     */
    public double failureShare(long now) {
        return failureShare * Math.exp(-Math.max(0, now - changedMillis) / FORGET_MILLIS);
    }
}
