package org.martenwell.balance;

/**
 * Learns how fast the targets of a service read prompts, from requests that found a target without
 * a backlog.
 */
public final class ReadingRate {

    /** The rate that is assumed first, in tokens a millisecond. */
    static final double FIRST_RATE = 80;

    /** The time to the first event of an empty prompt that is assumed first, in milliseconds. */
    private static final double FIRST_BASE_MILLIS = 40;

    /** The smallest prompt that teaches the rate, in tokens. */
    private static final long TEACHING_TOKENS = 2_000;

    /** The largest prompt that teaches the base, in tokens. */
    private static final long SMALL_TOKENS = 500;

    /** The largest backlog that an observation may have, in milliseconds. */
    private static final double CALM_MILLIS = 4;

    /** How much one observation weighs. */
    private static final double WEIGHT = 0.05;

    /** The slowest rate, in tokens a millisecond. */
    private static final double SLOWEST_RATE = 5;

    /** The rate in tokens a millisecond. */
    private double rate = FIRST_RATE;

    /** The time to the first event of an empty prompt, in milliseconds. */
    private double baseMillis = FIRST_BASE_MILLIS;

    /** Creates a rate about which nothing is known. */
    public ReadingRate() {}

    /**
     * Takes in an observation.
     *
     * @param request The request.
     * @param firstMillis How long its first event took, in milliseconds.
     */
    public void observe(RunningRequest request, long firstMillis) {
        if (request.backlogMillis() > CALM_MILLIS) {
            return;
        }
        if (request.unreadTokens() < SMALL_TOKENS) {
            baseMillis += WEIGHT * (Math.min((double) firstMillis, 4 * baseMillis) - baseMillis);
        } else if (request.unreadTokens() >= TEACHING_TOKENS) {
            double reading = Math.max(1, firstMillis - baseMillis);
            double seen = request.unreadTokens() / reading;
            double bounded = Math.min(4 * rate, Math.max(rate / 4, seen));
            rate = Math.max(SLOWEST_RATE, rate + WEIGHT * (bounded - rate));
        }
    }

    /**
     * Returns how long a target reads tokens.
     *
     * @param tokens The tokens.
     * @return The time in milliseconds.
     */
    public double millis(long tokens) {
        return tokens / rate;
    }

    /**
     * Returns the time to the first event of an empty prompt.
     *
     * @return The time in milliseconds.
     */
    public double baseMillis() {
        return baseMillis;
    }
}
