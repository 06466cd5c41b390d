package org.martenwell.share;

/**
 * What an organisation may take at one gateway of a share that it exceeds: a part of the share that
 * is refilled as time goes by. A request may overdraw it, and later ones wait until that is made up
 * for, so that large requests are neither kept out nor counted short.
 */
final class Allowance {

    /** What may be taken in a window, in tokens. */
    private double quota;

    /** What is left, in tokens; negative if it is overdrawn. */
    private double left;

    /** When it was last refilled, in milliseconds. */
    private long refilledMillis;

    /**
     * Creates an allowance.
     *
     * @param quota What may be taken in a window, in tokens.
     * @param taken What was taken in the last window, in tokens.
     * @param now The present time, in milliseconds.
     */
    Allowance(double quota, double taken, long now) {
        this.quota = quota;
        this.left = Math.max(0, quota - taken);
        this.refilledMillis = now;
    }

    /**
     * Refills what the time since the last call brings, a window's part at the most.
     *
     * @param changedQuota What may be taken in a window from now on, in tokens.
     * @param windowMillis The window, in milliseconds.
     * @param now The present time, in milliseconds.
     */
    void refill(double changedQuota, long windowMillis, long now) {
        double refilled = left + quota * (now - refilledMillis) / windowMillis;
        quota = changedQuota;
        left = Math.min(quota, refilled);
        refilledMillis = now;
    }

    /**
     * Takes tokens.
     *
     * @param tokens The tokens; negative ones are given back.
     */
    void take(double tokens) {
        left -= tokens;
    }

    /**
     * Returns which part of the allowance is used.
     *
     * @return The part; above 1 if nothing is left.
     */
    double used() {
        return left > 0 ? 1 - left / quota : Math.nextUp(1 - left / Math.max(quota, 1));
    }
}
