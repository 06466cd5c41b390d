package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.balance.ForecastError;
import org.martenwell.balance.LoadForecast;
import org.martenwell.balance.PrefillRate;

/** Forecasts of the load of engines, by service, and their errors. */
final class LoadForecasts {

    private static final double PERCENT = 100;

    /** Set if forecasts count unreported work and are corrected by their errors. */
    private final boolean corrected;

    private final Map<String, ForecastError> errors = new HashMap<>();

    /**
     * Creates forecasts without known errors.
     *
     * @param corrected {@code true} to count unreported work and to correct forecasts by their
     *     errors.
     */
    LoadForecasts(boolean corrected) {
        this.corrected = corrected;
    }

    /**
     * Returns the forecast for a service.
     *
     * @param service The name of the service.
     * @param rate The prefill rate of its engines.
     * @param unreportedMillis The estimated unreported work of each engine, in milliseconds.
     * @return The forecast.
     */
    LoadForecast of(String service, PrefillRate rate, double unreportedMillis) {
        return corrected
                ? LoadForecast.corrected(rate, unreportedMillis, error(service))
                : LoadForecast.ofReports(rate, unreportedMillis);
    }

    /**
     * Records the time to the first event of a request.
     *
     * @param service The name of the service.
     * @param forecastMillis The forecast, not corrected, in milliseconds.
     * @param measuredMillis The measured time, in milliseconds.
     */
    void observe(String service, double forecastMillis, double measuredMillis) {
        if (corrected) {
            error(service).observe(forecastMillis, measuredMillis);
        }
    }

    /** {@return the largest factor by which forecasts are multiplied, in hundredths} */
    long maxFactorPercent() {
        return Math.round(
                PERCENT
                        * errors.values().stream()
                                .mapToDouble(ForecastError::factor)
                                .max()
                                .orElse(1));
    }

    private ForecastError error(String service) {
        return errors.computeIfAbsent(service, name -> new ForecastError());
    }
}
