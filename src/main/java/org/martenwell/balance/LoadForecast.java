package org.martenwell.balance;

/**
 * Forecasts the time until an engine has processed the prompts that it was sent. Gateways know the
 * prompts of peers by reports that are some 0.3 s old. If each gateway fills the engines up to what
 * the reports show, all together overfill them, and the more so the higher the demand.
 *
 * @param rate The prefill rate of the engines.
 * @param unreportedMillis The estimated work that peers have sent to each engine since their last
 *     reports, in milliseconds; 0 disables the noise on costs.
 * @param countedMillis The part of it that counts as backlog, in milliseconds.
 * @param factor The ratio of measured to forecast times.
 */
public record LoadForecast(
        PrefillRate rate, double unreportedMillis, double countedMillis, double factor) {

    /**
     * Creates a forecast from reports alone.
     *
     * @param rate The prefill rate of the engines.
     * @param unreportedMillis The estimated unreported work of each engine, in milliseconds.
     * @return The forecast.
     */
    public static LoadForecast ofReports(PrefillRate rate, double unreportedMillis) {
        return new LoadForecast(rate, unreportedMillis, 0, 1);
    }

    /**
     * Creates a forecast that counts unreported work and is corrected by its former errors.
     *
     * @param rate The prefill rate of the engines.
     * @param unreportedMillis The scale of the noise on costs, in milliseconds.
     * @param countedMillis The unreported work that counts as backlog, in milliseconds.
     * @param error The former errors.
     * @return The forecast.
     */
    public static LoadForecast corrected(
            PrefillRate rate, double unreportedMillis, double countedMillis, ForecastError error) {
        return new LoadForecast(rate, unreportedMillis, countedMillis, error.factor());
    }

    /**
     * Forecasts the time until the first event, without that of an empty prompt.
     *
     * @param backlogMillis The reported backlog of an engine, in milliseconds.
     * @param prefillMillis The time for the prompt itself, in milliseconds.
     * @return The time in milliseconds, not corrected by the factor.
     */
    public double uncorrectedMillis(double backlogMillis, double prefillMillis) {
        return backlogMillis + countedMillis + prefillMillis;
    }

    /**
     * Forecasts the time until a prompt is begun.
     *
     * @param backlogMillis The reported backlog of an engine, in milliseconds.
     * @return The time in milliseconds.
     */
    double backlogMillis(double backlogMillis) {
        return factor * (backlogMillis + countedMillis);
    }

    /**
     * Forecasts the time for a prompt beside the requests that run at the engine.
     *
     * @param prefillMillis The time for the prompt at an idle engine, in milliseconds.
     * @return The time in milliseconds.
     */
    double prefillMillis(double prefillMillis) {
        return factor * prefillMillis;
    }
}
