package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.LoadForecast;
import org.martenwell.balance.PrefillRate;
import org.martenwell.balance.UnreportedWork;

/** Guards against a feature that has an effect although it is off, and against mixed services. */
final class LoadForecastsTest {

    private static final String SERVICE = "one";

    private final PrefillRate rate = new PrefillRate();

    private final UnreportedWork unreported = new UnreportedWork();

    @Test
    void testWithoutTheFeatureForecastsAreThoseOfReports() {
        LoadForecasts forecasts = new LoadForecasts(false, unreported);
        observe(forecasts, SERVICE);
        assertThat(forecast(forecasts, SERVICE)).isEqualTo(LoadForecast.ofReports(rate, 0));
        assertThat(forecasts.maxFactorPercent()).isEqualTo(100);
    }

    @Test
    void testErrorsOfAServiceCorrectItsForecasts() {
        LoadForecasts forecasts = new LoadForecasts(true, unreported);
        observe(forecasts, SERVICE);
        assertThat(forecast(forecasts, SERVICE).factor()).isGreaterThan(1.5);
        assertThat(forecast(forecasts, "other").factor()).isEqualTo(1);
        assertThat(forecasts.maxFactorPercent()).isGreaterThan(150);
    }

    private LoadForecast forecast(LoadForecasts forecasts, String service) {
        return forecasts.of(service, List.of(), rate, 0);
    }

    private static void observe(LoadForecasts forecasts, String service) {
        for (int sample = 0; sample < 200; sample++) {
            forecasts.observe(service, 100, 200);
        }
    }
}
