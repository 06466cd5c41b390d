package org.martenwell.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One gateway's part of the retries that a fleet may make. In any window the fleet may make a share
 * of its requests and an allowance. Each gateway makes the share of its own requests and its part
 * of the allowance by members; nothing of the allowance in the first window after its start, since
 * the process before it may have used that up.
 */
public final class FleetRetryBudget {

    /** The part of what is allowed that is used, so that windows that differ do no harm. */
    private static final double USED = 0.7;

    /** The share of requests. */
    private final double share;

    /** The allowance of the fleet. */
    private final double allowance;

    /** The window in milliseconds. */
    private final long windowMillis;

    /** When the budget was created, in milliseconds. */
    private final long createdMillis;

    /** When requests of the last window came, in milliseconds. */
    private final Deque<Long> fresh = new ArrayDeque<>();

    /** When retries of the last window were made, in milliseconds. */
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param share How many retries the fleet may make for each request.
     * @param allowance How many it may make besides in a window.
     * @param windowMillis The window in milliseconds.
     * @param now The present time, in milliseconds.
     */
    public FleetRetryBudget(double share, double allowance, long windowMillis, long now) {
        this.share = share;
        this.allowance = allowance;
        this.windowMillis = windowMillis;
        this.createdMillis = now;
    }

    /**
     * Counts a request that is sent for the first time.
     *
     * @param now The present time, in milliseconds.
     */
    public void countFresh(long now) {
        fresh.add(now);
        trim(now);
    }

    /**
     * Takes a retry from the budget.
     *
     * @param members How many gateways the fleet has.
     * @param now The present time, in milliseconds.
     * @return {@code true} if it is allowed.
     */
    public boolean takeRetry(int members, long now) {
        trim(now);
        double own = now - createdMillis < windowMillis ? 0 : allowance / Math.max(1, members);
        if (retries.size() + 1 > USED * (share * fresh.size() + own)) {
            return false;
        }
        retries.add(now);
        return true;
    }

    /**
     * Forgets what is older than the window.
     *
     * @param now The present time, in milliseconds.
     */
    private void trim(long now) {
        while (!fresh.isEmpty() && now - fresh.peek() > windowMillis) {
            fresh.poll();
        }
        while (!retries.isEmpty() && now - retries.peek() > windowMillis) {
            retries.poll();
        }
    }
}
