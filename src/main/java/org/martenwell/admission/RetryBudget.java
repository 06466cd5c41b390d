package org.martenwell.admission;

/**
 * Limits retries to a share of first attempts, so that the failure of a target, a failure domain or
 * the platform doesn't cause a retry storm.
 */
public final class RetryBudget {

    /** The retries earned by a first attempt. */
    private static final double RETRIES_PER_REQUEST = 0.1;

    /** The most retries that can be saved for a burst of failures. */
    private static final double MAX_CREDIT = 20;

    /** The retries that may be made now. */
    private double credit = MAX_CREDIT;

    /** The number of first attempts counted. */
    private long firstAttempts;

    /** The number of retries allowed. */
    private long retries;

    /** Creates a full budget. */
    public RetryBudget() {}

    /** Counts the first attempt of a request. */
    public void countFirstAttempt() {
        firstAttempts++;
        credit = Math.min(MAX_CREDIT, credit + RETRIES_PER_REQUEST);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return {@code true} if the retry is allowed.
     */
    public boolean takeRetry() {
        if (credit < 1) {
            return false;
        }
        credit--;
        retries++;
        return true;
    }

    /** {@return the number of first attempts counted} */
    public long firstAttempts() {
        return firstAttempts;
    }

    /** {@return the number of retries allowed} */
    public long retries() {
        return retries;
    }
}
