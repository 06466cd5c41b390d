package org.martenwell.admission;

/** Token bucket that limits a rate and permits bursts. */
final class TokenBucket {

    /** The tokens available at {@link #refilledAt}. */
    private double tokens;

    /** The time of the last refill, in milliseconds. */
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param burst The capacity of the bucket.
     * @param now The current time, in milliseconds.
     */
    TokenBucket(double burst, long now) {
        tokens = burst;
        refilledAt = now;
    }

    /**
     * Takes a token if one is available.
     *
     * @param perSecond The tokens added per second.
     * @param burst The capacity of the bucket.
     * @param now The current time, in milliseconds.
     * @return 0 if a token was taken, otherwise the time until one is available, in milliseconds.
     */
    long take(double perSecond, double burst, long now) {
        tokens = Math.min(burst, tokens + Math.max(0, now - refilledAt) * perSecond / 1000);
        refilledAt = Math.max(refilledAt, now);
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return (long) Math.ceil((1 - tokens) * 1000 / perSecond);
    }
}
