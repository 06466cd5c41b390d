package org.martenwell.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.balance.ForecastError;
import org.martenwell.balance.LoadForecast;
import org.martenwell.balance.PrefillRate;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.UnreportedWork;

/** Forecasts of the load of engines, by service, and their errors. */
final class LoadForecasts {

    private static final double PERCENT = 100;

    /** Set if forecasts count unreported work and are corrected by their errors. */
    private final boolean corrected;

    /** Estimates the work that peers have sent since their reports. */
    private final UnreportedWork unreportedWork;

    private final Map<String, ForecastError> errors = new HashMap<>();

    /**
     * Creates forecasts without known errors.
     *
     * @param corrected {@code true} to count unreported work and to correct forecasts by their
     *     errors.
     * @param unreportedWork Estimates the work that peers have sent since their reports.
     */
    LoadForecasts(boolean corrected, UnreportedWork unreportedWork) {
        this.corrected = corrected;
        this.unreportedWork = unreportedWork;
    }

    /**
     * Returns the forecast for a service.
     *
     * @param service The name of the service.
     * @param engines Its engines that accept requests.
     * @param rate The prefill rate of its engines.
     * @param now The current time, in milliseconds.
     * @return The forecast.
     */
    LoadForecast of(String service, List<TargetLoad> engines, PrefillRate rate, long now) {
        double unreportedMillis = unreportedWork.perTarget(engines.size(), now);
        if (!corrected) {
            return LoadForecast.ofReports(rate, unreportedMillis);
        }
        long own = 0;
        long all = 0;
        for (TargetLoad each : engines) {
            own += each.own().requests();
            all += each.totalLoad(now).requests();
        }
        unreportedWork.observeRunning(own, all - own);
        return LoadForecast.corrected(
                rate,
                unreportedMillis,
                unreportedWork.scaledPerTarget(engines.size(), now),
                error(service));
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
