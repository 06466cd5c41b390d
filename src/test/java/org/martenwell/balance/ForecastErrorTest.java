package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against forecasts that stay too short under load, or too long behind it. */
final class ForecastErrorTest {

    private final ForecastError error = new ForecastError();

    @Test
    void testFactorIsAnUpperQuantile() {
        Random random = new Random(1);
        for (int sample = 0; sample < 2_000; sample++) {
            error.observe(100, 100 + 200 * random.nextDouble());
        }
        assertThat(error.factor()).isCloseTo(2.4, within(0.3));
    }

    @Test
    void testFactorIsNeverBelowOne() {
        observe(500, 100, 20);
        assertThat(error.factor()).isEqualTo(1);
    }

    /** Guards against a factor with which no request would be sent, so that it stays for good. */
    @Test
    void testFactorIsBoundedAndRecovers() {
        observe(1_000, 100, 10_000);
        assertThat(error.factor()).isEqualTo(4);
        observe(500, 100, 100);
        assertThat(error.factor()).isEqualTo(1);
    }

    /** Guards against delays of the network that count as errors. */
    @Test
    void testShortForecastsAreNoSamples() {
        observe(1_000, 29, 1_000);
        assertThat(error.factor()).isEqualTo(1);
    }

    private void observe(int samples, double forecastMillis, double measuredMillis) {
        for (int sample = 0; sample < samples; sample++) {
            error.observe(forecastMillis, measuredMillis);
        }
    }
}
