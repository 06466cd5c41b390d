package org.martenwell.admission;

/**
 * Bounds retries to a share of fresh requests, so that a failing target, failure domain or platform
 * starts no storm of retries.
 */
public final class RetryBudget {

    /** How many retries a fresh request pays for. */
    private static final double SHARE = 0.1;

    /** The most retries saved up. */
    private static final double MAX_SAVED = 20;

    /** The retries at hand. */
    private double saved = MAX_SAVED;

    /** The fresh requests counted. */
    private long fresh;

    /** The retries allowed. */
    private long retries;

    /** Creates a full budget. */
    public RetryBudget() {}

    /** Counts a fresh request. */
    public void countFresh() {
        fresh++;
        saved = Math.min(MAX_SAVED, saved + SHARE);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return {@code true} if it is allowed.
     */
    public boolean takeRetry() {
        if (saved < 1) {
            return false;
        }
        saved--;
        retries++;
        return true;
    }

    /**
     * Returns how many fresh requests were counted.
     *
     * @return The number of requests.
     */
    public long fresh() {
        return fresh;
    }

    /**
     * Returns how many retries were allowed.
     *
     * @return The number of retries.
     */
    public long retries() {
        return retries;
    }
}
