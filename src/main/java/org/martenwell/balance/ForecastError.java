package org.martenwell.balance;

/**
 * Estimates by which factor the time to a first event exceeds its forecast. Running generations
 * slow the prefill down, and engines have slow periods, so a forecast by the rate of idle engines
 * is too short under load. The estimate is an upper quantile, since a request that comes late is of
 * little use to its caller.
 */
public final class ForecastError {

    /** The quantile of the ratios that is estimated. */
    private static final double QUANTILE = 0.7;

    /** The relative change of the estimate with each sample; it follows within some 50 samples. */
    private static final double STEP = 0.03;

    /**
     * The relative change with the first sample. The change is smaller the more samples there are,
     * so that a gateway that starts under load needs few of them.
     */
    private static final double FIRST_STEP = 0.6;

    /** The shortest forecast that is a sample, in milliseconds; delays of the network are below. */
    private static final double MIN_FORECAST_MILLIS = 30;

    /** The largest factor, which keeps some requests running by which the estimate recovers. */
    private static final double MAX_FACTOR = 4;

    /** The estimated quantile. */
    private double quantile = 1;

    private int samples;

    /** Creates an estimate without samples. */
    public ForecastError() {}

    /**
     * Adds a sample.
     *
     * @param forecastMillis The forecast time, in milliseconds.
     * @param measuredMillis The measured time, in milliseconds.
     */
    public void observe(double forecastMillis, double measuredMillis) {
        if (forecastMillis < MIN_FORECAST_MILLIS) {
            return;
        }
        samples++;
        double step = Math.max(STEP, FIRST_STEP / samples);
        boolean longer = measuredMillis > quantile * forecastMillis;
        double change = step * (longer ? QUANTILE : QUANTILE - 1);
        quantile = Math.max(1, Math.min(MAX_FACTOR, quantile * (1 + change)));
    }

    /** {@return the factor by which forecasts are multiplied, at least 1} */
    public double factor() {
        return quantile;
    }
}
