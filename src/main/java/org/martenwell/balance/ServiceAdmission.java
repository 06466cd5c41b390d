package org.martenwell.balance;

import java.util.Random;

/**
 * Decides whether a plain service may take another request. As its targets' queues grow, a growing
 * fraction of the requests is refused, so that the others are served within their latency
 * objective.
 *
 * <p>The fraction is set by a proportional-integral controller. All gateways see nearly the same
 * load, and they see it late: a threshold or a steep slope would make them all refuse and admit in
 * turns.
 */
public final class ServiceAdmission {

    /** The aimed wait in the targets' queues, as a part of the time left for waiting. */
    private static final double AIMED_WAIT = 0.7;

    /** The refused fraction per excess of the wait over the aimed one. */
    private static final double PROPORTIONAL_GAIN = 0.15;

    /** The growth of the refused fraction per excess of the wait and second. */
    private static final double INTEGRAL_GAIN = 0.1;

    /** The factor by which the integral part falls faster than it grows. */
    private static final double FALL_FACTOR = 4;

    private static final double MAX_REFUSED_FRACTION = 0.9;

    /** The least time left for waiting, as a fraction of the latency objective. */
    private static final double MIN_WAIT_FRACTION = 0.25;

    /** The longest time between two requests that counts for the integral, in milliseconds. */
    private static final long MAX_STEP_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Random random;

    /** The integral part of the refused fraction. */
    private double integral;

    /** The time of the last decision, in milliseconds. */
    private long lastMillis;

    /**
     * Creates an admission.
     *
     * @param random Selects the requests to refuse.
     */
    public ServiceAdmission(Random random) {
        this.random = random;
    }

    /**
     * Decides whether a request is admitted.
     *
     * @param meanLoad The mean number of requests at the available targets.
     * @param slots The mean number of requests that a target runs at a time.
     * @param serviceMillis The time for which a target runs a request, in milliseconds.
     * @param objectiveMillis The latency objective of the request, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it is admitted.
     */
    public boolean admits(
            double meanLoad, double slots, double serviceMillis, double objectiveMillis, long now) {
        double waitMillis = serviceMillis * Math.max(0, meanLoad + 1 - slots) / slots;
        double allowedMillis =
                Math.max(objectiveMillis - serviceMillis, MIN_WAIT_FRACTION * objectiveMillis);
        double excess = waitMillis / allowedMillis - AIMED_WAIT;
        double seconds = Math.min(MAX_STEP_MILLIS, now - lastMillis) / MILLIS_PER_SECOND;
        lastMillis = now;
        double step = excess < 0 ? FALL_FACTOR * excess : Math.min(1, excess);
        integral = clamp(integral + INTEGRAL_GAIN * step * seconds);
        double refusedFraction = clamp(integral + PROPORTIONAL_GAIN * excess);
        return waitMillis <= 0 || random.nextDouble() >= refusedFraction;
    }

    private static double clamp(double fraction) {
        return Math.max(0, Math.min(MAX_REFUSED_FRACTION, fraction));
    }
}
