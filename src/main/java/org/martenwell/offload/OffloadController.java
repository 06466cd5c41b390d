package org.martenwell.offload;

/**
 * Controls the fraction of new requests that a gateway offloads, so that its process uses a given
 * part of the processor time that its box grants.
 *
 * <p>It estimates the use that the process would have if it offloaded nothing, and derives the
 * fraction at which the aimed use results. The use follows the fraction with a delay, since a
 * request needs processor time until its response ends. The estimate therefore relates the mean use
 * to the mean fraction over the same time. Otherwise the fraction would fall until the next peak
 * and oscillate.
 */
public final class OffloadController {

    /**
     * The aimed use, as a fraction of the granted time; below the 0.87 at which {@code
     * ProcessorLimiter} refuses requests, and above what a helping gateway offers to peers.
     */
    static final double AIMED_USE = 0.7;

    /** The largest offloaded fraction, so that the use still reflects the cost of requests. */
    static final double MAX_FRACTION = 0.95;

    /** The largest decrease of the fraction per second. */
    static final double MAX_DECREASE_PER_SECOND = 0.5;

    /**
     * The cost of offloading a request, as a fraction of the cost of serving it: 0.7 ms of 2.85 ms,
     * the middle of the measured 2.2 to 3.5 ms.
     */
    private static final double OFFLOAD_COST = 0.25;

    /**
     * The use from which a loop that lags shows that more is demanded than the box grants, as a
     * fraction of the granted time. The use can't show by how much.
     */
    private static final double SATURATED_USE = 0.9;

    /**
     * The mean lag of the loop from which a high use counts as saturated, in milliseconds. The use
     * alone doesn't, since a process may measure more time than its box counts.
     */
    private static final double SATURATED_LAG_MILLIS = 10;

    /**
     * The time constant of the mean use and the mean fraction, in milliseconds. Half of the time
     * for which a response of 36 events usually lasts, and long enough to average over the few
     * requests that a box of 0.27 processors handles in each sample.
     */
    private static final double MEAN_MILLIS = 700;

    /**
     * The part of the distance to a higher fraction that is covered per second while the process is
     * not saturated; low enough that the use has followed before the distance is covered.
     */
    private static final double INCREASE_PER_SECOND = 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The exponentially weighted mean of the use, limited to 1. */
    private double meanUse;

    /** The mean of the fraction over the same time. */
    private double meanFraction;

    private double fraction;

    /**
     * Set from a saturated sample until one at or below the aim. The fraction then rises by each
     * sample alone, since the means would follow too late.
     */
    private boolean overloaded;

    /** Set by the first sample. */
    private boolean measured;

    /** Creates a controller that offloads nothing yet. */
    public OffloadController() {}

    /**
     * Updates the fraction by the use of an interval.
     *
     * @param usedFraction The used fraction of the granted processor time; may exceed 1.
     * @param lagMillis The mean lag of the event loop, in milliseconds.
     * @param elapsedMillis The length of the interval, in milliseconds.
     */
    public void sample(double usedFraction, double lagMillis, double elapsedMillis) {
        double use = Math.max(0, Math.min(1, usedFraction));
        double weight = 1 - Math.exp(-elapsedMillis / MEAN_MILLIS);
        double seconds = elapsedMillis / MILLIS_PER_SECOND;
        meanUse = measured ? meanUse + weight * (use - meanUse) : use;
        measured = true;
        meanFraction += weight * (fraction - meanFraction);
        double required = requiredFraction(meanUse, meanFraction);
        overloaded =
                use > AIMED_USE
                        && (overloaded
                                || (use >= SATURATED_USE && lagMillis >= SATURATED_LAG_MILLIS));
        if (overloaded) {
            fraction = Math.max(fraction, requiredFraction(use, fraction));
        } else if (required > fraction) {
            fraction += Math.min(1, INCREASE_PER_SECOND * seconds) * (required - fraction);
        } else if (use < AIMED_USE) {
            // Above the aim, the means only lag behind a rise of the fraction.
            fraction = Math.max(required, fraction - MAX_DECREASE_PER_SECOND * seconds);
        }
    }

    /** {@return the fraction of new requests to offload, from 0 to 0.95} */
    public double fraction() {
        return fraction;
    }

    /** {@return {@code true} once there was a sample} */
    boolean measured() {
        return measured;
    }

    /** {@return the mean use of the granted processor time over the last second, from 0 to 1} */
    double meanUse() {
        return meanUse;
    }

    /**
     * Returns the fraction that results in the aimed use.
     *
     * @param use The use.
     * @param offloaded The fraction that was offloaded meanwhile.
     * @return The fraction.
     */
    private static double requiredFraction(double use, double offloaded) {
        double saved = 1 - OFFLOAD_COST;
        double unreducedUse = use / (1 - saved * offloaded);
        if (unreducedUse <= AIMED_USE) {
            return 0;
        }
        return Math.min(MAX_FRACTION, (1 - AIMED_USE / unreducedUse) / saved);
    }
}
