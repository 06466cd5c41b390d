package org.martenwell.admission;

/** Allows a steady rate with bursts. */
final class TokenBucket {

    /** The tokens at hand. */
    private double tokens;

    /** When they were last counted. */
    private long countedAt;

    /**
     * Creates a full bucket.
     *
     * @param burst The most tokens.
     * @param now The time.
     */
    TokenBucket(double burst, long now) {
        tokens = burst;
        countedAt = now;
    }

    /**
     * Takes a token.
     *
     * @param perSecond How many tokens come a second.
     * @param burst The most tokens.
     * @param now The time.
     * @return 0 if there was one, else the time until there is one, in milliseconds.
     */
    long take(double perSecond, double burst, long now) {
        tokens = Math.min(burst, tokens + Math.max(0, now - countedAt) * perSecond / 1000);
        countedAt = Math.max(countedAt, now);
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return (long) Math.ceil((1 - tokens) * 1000 / perSecond);
    }
}
