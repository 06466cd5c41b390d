package org.martenwell.balance;

import java.util.OptionalDouble;

/** Estimates the usual interval between the events of a service's engines. */
public final class EventIntervalRate {

    /** The number of samples before a speed is given, since an estimate from fewer is random. */
    private static final int MIN_SAMPLES = 3;

    /** The number of samples of which the estimate is the mean; later ones replace earlier ones. */
    private static final int MAX_SAMPLES = 50;

    /** The mean logarithm of the samples. */
    private double meanLogarithm;

    private int samples;

    /** Creates an estimate without samples. */
    public EventIntervalRate() {}

    /**
     * Compares an interval with the estimate, and updates the estimate.
     *
     * @param intervalMillis The interval at an engine, in milliseconds, positive.
     * @return The speed of the engine relative to the estimate; empty at the first samples.
     */
    public OptionalDouble speed(double intervalMillis) {
        double logarithm = Math.log(intervalMillis);
        boolean known = samples >= MIN_SAMPLES;
        OptionalDouble speed =
                known
                        ? OptionalDouble.of(Math.exp(meanLogarithm - logarithm))
                        : OptionalDouble.empty();
        samples = Math.min(samples + 1, MAX_SAMPLES);
        meanLogarithm += (logarithm - meanLogarithm) / samples;
        return speed;
    }
}
