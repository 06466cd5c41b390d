package org.martenwell.balance;

import java.util.OptionalDouble;

/**
 * Estimates the prefill rate of a service's engines from the time to the first event of requests
 * that found an engine without a backlog.
 */
public final class PrefillRate {

    /** The initial rate, in tokens per millisecond. */
    static final double INITIAL_RATE = 80;

    /** The initial time to the first event of an empty prompt, in milliseconds. */
    private static final double INITIAL_BASE_MILLIS = 40;

    /** The smallest prefill that is a sample of the rate, in tokens. */
    private static final long MIN_RATE_SAMPLE_TOKENS = 2_000;

    /** The size below which a prefill is a sample of the base time, in tokens. */
    private static final long BASE_SAMPLE_TOKENS = 500;

    /** The largest backlog with which a request is a sample, in milliseconds. */
    private static final double MAX_BACKLOG_MILLIS = 4;

    /** The weight of a new sample in the moving averages. */
    private static final double SMOOTHING = 0.05;

    /** The smallest prefill that is a sample of an engine's speed, relative to the base time. */
    private static final double MIN_SPEED_SAMPLE_FRACTION = 0.25;

    /** The lower bound of the rate, in tokens per millisecond. */
    private static final double MIN_RATE = 5;

    /** The rate in tokens per millisecond. */
    private double rate = INITIAL_RATE;

    /** The time to the first event of an empty prompt, in milliseconds. */
    private double baseMillis = INITIAL_BASE_MILLIS;

    /** Creates an estimate with the initial values. */
    public PrefillRate() {}

    /**
     * Updates the estimate by a request. Outliers are limited to a multiple of the current
     * estimate.
     *
     * @param request The request.
     * @param firstEventMillis The time from sending the request to its first event, in
     *     milliseconds.
     */
    public void observe(RunningRequest request, long firstEventMillis) {
        if (request.backlogMillis() > MAX_BACKLOG_MILLIS) {
            return;
        }
        if (request.prefillTokens() < BASE_SAMPLE_TOKENS) {
            baseMillis +=
                    SMOOTHING * (Math.min((double) firstEventMillis, 4 * baseMillis) - baseMillis);
        } else if (request.prefillTokens() >= MIN_RATE_SAMPLE_TOKENS) {
            double prefillMillis = Math.max(1, firstEventMillis - baseMillis);
            double sample = request.prefillTokens() / prefillMillis;
            double bounded = Math.min(4 * rate, Math.max(rate / 4, sample));
            rate = Math.max(MIN_RATE, rate + SMOOTHING * (bounded - rate));
        }
    }

    /**
     * Estimates the time for a prefill.
     *
     * @param tokens The size of the prefill, in tokens.
     * @return The time in milliseconds.
     */
    public double millis(long tokens) {
        return tokens / rate;
    }

    /**
     * Compares the time to the first event of a request with the estimate.
     *
     * @param request The request.
     * @param firstEventMillis The time from sending the request to its first event, in
     *     milliseconds.
     * @return The speed of its engine relative to the estimate, unlimited; empty if the engine had
     *     a backlog or the prefill was too short.
     */
    public OptionalDouble speed(RunningRequest request, long firstEventMillis) {
        double prefillMillis = millis(request.prefillTokens());
        if (request.backlogMillis() > MAX_BACKLOG_MILLIS
                || prefillMillis < MIN_SPEED_SAMPLE_FRACTION * baseMillis) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of((baseMillis + prefillMillis) / Math.max(1, firstEventMillis));
    }

    /** {@return the estimated time to the first event of an empty prompt, in milliseconds} */
    public double baseMillis() {
        return baseMillis;
    }
}
