package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Guards against speeds that a gateway reports before it can know the usual interval. */
final class EventIntervalRateTest {

    private final EventIntervalRate rate = new EventIntervalRate();

    @Test
    void testFirstSamplesGiveNoSpeed() {
        assertThat(rate.speed(30)).isEmpty();
        assertThat(rate.speed(30)).isEmpty();
        assertThat(rate.speed(30)).isEmpty();
        assertThat(rate.speed(60).orElseThrow()).isCloseTo(0.5, within(1e-9));
    }

    @Test
    void testEstimateFollowsAChangeOfAllEngines() {
        for (int sample = 0; sample < 50; sample++) {
            rate.speed(30);
        }
        for (int sample = 0; sample < 300; sample++) {
            rate.speed(60);
        }
        assertThat(rate.speed(60).orElseThrow()).isCloseTo(1, within(0.01));
    }
}
