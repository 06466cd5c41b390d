package org.martenwell.balance;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Estimates the speed of a target from samples of this gateway and of its peers, each the ratio of
 * an expected to a measured time, to a first event or between events. The estimate is the upper
 * quartile of recent samples, since whatever disturbs a sample makes it slower: a short period in
 * which the target is slow, work of peers that was not reported yet, a new connection. A mean would
 * follow them.
 *
 * <p>The estimate is relative to what each gateway expects; {@link RelativeSpeeds} relates it to
 * the other targets of the service.
 */
public final class TargetSpeed {

    /** The time constant of the decay of samples, in milliseconds. */
    private static final double DECAY_MILLIS = 10_000;

    /** The number of samples from which there is an estimate. */
    private static final double MIN_SAMPLES = 8;

    /**
     * The number below which the estimate is dropped. It is lower than {@link #MIN_SAMPLES} because
     * a target known to be slow gets fewer requests, and thus fewer samples.
     */
    private static final double MIN_KEPT_SAMPLES = 3;

    /** The number below which samples no longer count for the time that the samples span. */
    private static final double FORGOTTEN_SAMPLES = 0.1;

    /**
     * The shortest time that the samples of an estimate span, in milliseconds. A period of 600 ms
     * in which a target is slow covers at most the part of them that {@link #QUANTILE} ignores.
     */
    private static final long MIN_SPAN_MILLIS = 800;

    /** The quantile of the samples that is the estimate. */
    private static final double QUANTILE = 0.75;

    private static final double MEDIAN = 0.5;

    /**
     * The standard error of the upper quartile of one normally distributed sample, relative to the
     * difference between the quartile and the median.
     */
    private static final double ERROR_PER_SPREAD = 2;

    /** The largest absolute logarithm of a sample, which limits samples to 0.25 to 4. */
    private static final double MAX_LOGARITHM = Math.log(4);

    /** The number of intervals of equal width into which logarithms are sorted. */
    private static final int INTERVALS = 56;

    private static final double INTERVAL_WIDTH = 2 * MAX_LOGARITHM / INTERVALS;

    /** The largest number of samples that a report counts for. */
    private static final int MAX_REPORTED_SAMPLES = 50;

    private static final double THOUSANDTHS = 1_000;

    /** The decaying number of samples by interval, {@code null} before the first one. */
    private double[] counts;

    /** The sum of {@link #counts}. */
    private double total;

    /** The time of the first sample, in milliseconds. */
    private long firstMillis;

    /** The time of the last sample, in milliseconds. */
    private long lastMillis;

    /** The time as of which the numbers are decayed, in milliseconds. */
    private long decayedMillis;

    /** Set while there is an estimate. */
    private boolean estimated;

    /** The number of own samples that were not reported yet. */
    private int unreported;

    /** The sum of their logarithms. */
    private double unreportedLogarithms;

    private double factor = 1;

    /** Creates an estimate without samples. */
    public TargetSpeed() {}

    /**
     * Returns the speed by which choosers divide times of the target.
     *
     * @return The speed relative to the mean of the service; 1 if it is unknown or close to 1.
     */
    public double factor() {
        return factor;
    }

    /**
     * Sets the speed by which choosers divide times of the target.
     *
     * @param updated The speed.
     */
    void factor(double updated) {
        factor = updated;
    }

    /**
     * Adds a sample of this gateway, which is included in the next report.
     *
     * @param ratio The expected time divided by the measured one, positive.
     * @param now The current time, in milliseconds.
     */
    public void observe(double ratio, long now) {
        double logarithm = limited(Math.log(ratio));
        add(logarithm, 1, now);
        unreported++;
        unreportedLogarithms += logarithm;
    }

    /**
     * Adds the samples of a peer. A report that arrives twice counts twice.
     *
     * @param report The report; it is ignored if it has no samples.
     * @param now The current time, in milliseconds.
     */
    public void apply(TargetSpeedReport report, long now) {
        if (report.samples() > 0) {
            double mean = report.logSumThousandths() / THOUSANDTHS / report.samples();
            add(limited(mean), Math.min(report.samples(), MAX_REPORTED_SAMPLES), now);
        }
    }

    /**
     * Returns the own samples since the last call.
     *
     * @param incarnation The target's incarnation.
     * @return The report, or empty if there are none.
     */
    public Optional<TargetSpeedReport> takeReport(String incarnation) {
        if (unreported == 0) {
            return Optional.empty();
        }
        TargetSpeedReport report =
                new TargetSpeedReport(
                        incarnation, unreported, Math.round(unreportedLogarithms * THOUSANDTHS));
        unreported = 0;
        unreportedLogarithms = 0;
        return Optional.of(report);
    }

    /** Discards all samples, so that the speed counts as 1. */
    public void reset() {
        counts = null;
        total = 0;
        estimated = false;
        unreported = 0;
        unreportedLogarithms = 0;
        factor = 1;
    }

    /**
     * Returns the logarithm of the speed relative to what gateways expect.
     *
     * @param now The current time, in milliseconds.
     * @return The logarithm, empty while there are too few samples.
     */
    OptionalDouble logarithm(long now) {
        decay(now);
        estimated =
                estimated
                        ? total >= MIN_KEPT_SAMPLES
                        : total >= MIN_SAMPLES && lastMillis - firstMillis >= MIN_SPAN_MILLIS;
        return estimated ? OptionalDouble.of(quantile(QUANTILE)) : OptionalDouble.empty();
    }

    /**
     * Returns the standard error of the estimate, which grows with the spread of the samples.
     *
     * @return The error of the logarithm, positive.
     */
    double error() {
        double spread = quantile(QUANTILE) - quantile(MEDIAN);
        return ERROR_PER_SPREAD * spread / Math.sqrt(Math.max(1, total));
    }

    private void add(double logarithm, int samples, long now) {
        if (counts == null) {
            counts = new double[INTERVALS];
            decayedMillis = now;
        }
        decay(now);
        if (total < FORGOTTEN_SAMPLES) {
            firstMillis = now;
        }
        lastMillis = now;
        int interval = (int) ((logarithm + MAX_LOGARITHM) / INTERVAL_WIDTH);
        counts[Math.min(interval, INTERVALS - 1)] += samples;
        total += samples;
    }

    private void decay(long now) {
        if (counts == null || now <= decayedMillis) {
            return;
        }
        double remaining = Math.exp((decayedMillis - now) / DECAY_MILLIS);
        total = 0;
        for (int interval = 0; interval < INTERVALS; interval++) {
            counts[interval] *= remaining;
            total += counts[interval];
        }
        decayedMillis = now;
    }

    /** Returns a quantile of the logarithms, interpolated within its interval. */
    private double quantile(double fraction) {
        double below = fraction * total;
        int interval = 0;
        while (interval < INTERVALS - 1 && counts[interval] < below) {
            below -= counts[interval];
            interval++;
        }
        double part = counts[interval] > 0 ? Math.min(1, below / counts[interval]) : 0;
        return (interval + part) * INTERVAL_WIDTH - MAX_LOGARITHM;
    }

    private static double limited(double logarithm) {
        return Math.max(-MAX_LOGARITHM, Math.min(MAX_LOGARITHM, logarithm));
    }
}
