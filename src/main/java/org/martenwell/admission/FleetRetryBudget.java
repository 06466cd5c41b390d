package org.martenwell.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One gateway's part of the fleet's retry budget: in any window, a share of the gateway's own
 * requests and an equal part of the fleet's fixed allowance. During the first window after its
 * start a gateway gets no part of the allowance, because its predecessor may have used it up.
 */
public final class FleetRetryBudget {

    /** The fraction of the budget that is used, since the windows of gateways are not aligned. */
    private static final double UTILISATION = 0.7;

    /** The retries allowed per request. */
    private final double share;

    /** The additional retries that the fleet may make in a window. */
    private final double allowance;

    /** The length of the sliding window, in milliseconds. */
    private final long windowMillis;

    /** The time at which the budget was created, in milliseconds. */
    private final long createdMillis;

    /** The times of first attempts within the window, in milliseconds. */
    private final Deque<Long> firstAttempts = new ArrayDeque<>();

    /** The times of retries within the window, in milliseconds. */
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param share The retries allowed per request.
     * @param allowance The additional retries that the fleet may make in a window.
     * @param windowMillis The length of the sliding window, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    public FleetRetryBudget(double share, double allowance, long windowMillis, long now) {
        this.share = share;
        this.allowance = allowance;
        this.windowMillis = windowMillis;
        this.createdMillis = now;
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param now The current time, in milliseconds.
     */
    public void countFirstAttempt(long now) {
        firstAttempts.add(now);
        removeExpired(now);
    }

    /**
     * Takes a retry from the budget.
     *
     * @param members The number of gateways in the fleet.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the retry is allowed.
     */
    public boolean takeRetry(int members, long now) {
        removeExpired(now);
        double ownAllowance =
                now - createdMillis < windowMillis ? 0 : allowance / Math.max(1, members);
        if (retries.size() + 1 > UTILISATION * (share * firstAttempts.size() + ownAllowance)) {
            return false;
        }
        retries.add(now);
        return true;
    }

    private void removeExpired(long now) {
        while (!firstAttempts.isEmpty() && now - firstAttempts.peek() > windowMillis) {
            firstAttempts.poll();
        }
        while (!retries.isEmpty() && now - retries.peek() > windowMillis) {
            retries.poll();
        }
    }
}
