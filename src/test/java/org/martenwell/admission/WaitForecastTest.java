package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the bounds of waiting, and the delay after which a refused caller retries. */
final class WaitForecastTest {

    private static final WaitDemand DEMAND = new WaitDemand(1_000, 600, 13_000, 50, 100);

    private final WaitForecast forecast = new WaitForecast();

    /** Records ten places in the second before the arrival. */
    @BeforeEach
    void recordPlaces() {
        for (int index = 1; index <= 10; index++) {
            forecast.recordPlace(100L * index);
        }
    }

    @Test
    void testRequestWaitsIfItsPlaceIsForecastInTime() {
        // 375 ms for three places, with the allowance; up to 510 ms may be waited.
        assertThat(forecast.decide(DEMAND, 2, 1_000)).isEmpty();
    }

    @Test
    void testRequestIsRefusedAtOnceIfItsPlaceComesTooLate() {
        WaitRefusal refusal = forecast.decide(DEMAND, 4, 1_000).orElseThrow();
        assertThat(refusal.forecastMillis()).isEqualTo(500);
    }

    @Test
    void testWaitEndsAtTheLatestUsefulTime() {
        assertThat(forecast.decideAgain(DEMAND, 2, 1_509)).isEmpty();
        assertThat(forecast.decideAgain(DEMAND, 2, 1_510)).isPresent();
    }

    /** Guards against an endless wait while nothing is known of the engines. */
    @Test
    void testUnknownRatePermitsAFifthOfTheObjective() {
        WaitForecast unknown = new WaitForecast();
        assertThat(unknown.decide(DEMAND, 100, 1_119)).isEmpty();
        WaitRefusal refusal = unknown.decide(DEMAND, 100, 1_120).orElseThrow();
        assertThat(refusal.forecastMillis()).isEqualTo(-1);
        assertThat(refusal.retrySeconds()).isBetween(0.1, 0.4);
    }

    @Test
    void testLongPromptWaitsAFifthOfTheObjective() {
        WaitDemand longPrompt = new WaitDemand(1_000, 600, 13_000, 2_000, 100);
        assertThat(forecast.decideAgain(longPrompt, 0, 1_119)).isEmpty();
        assertThat(forecast.decideAgain(longPrompt, 0, 1_120)).isPresent();
    }

    /** A retry within the time that is left can still be in time, even with its jitter. */
    @Test
    void testRetryOfARequestThatCanStillBeInTimeIsEarly() {
        assertThat(forecast.refuse(DEMAND, 100, 1_000).retrySeconds())
                .isCloseTo(0.22, within(0.001));
    }

    @Test
    void testRetryOfALateRequestFollowsTheForecast() {
        assertThat(forecast.refuse(DEMAND, 7, 1_500).retrySeconds()).isBetween(0.8, 1.7);
        assertThat(forecast.refuse(DEMAND, 1_000, 1_500).retrySeconds()).isEqualTo(2);
    }

    /** Guards against telling all refused callers the same time. */
    @Test
    void testCallersRefusedLaterReturnLater() {
        double first = forecast.refuse(DEMAND, 3, 1_500).retrySeconds();
        double second = forecast.refuse(DEMAND, 3, 1_500).retrySeconds();
        assertThat(second).isGreaterThan(first);
    }

    /** Guards against a retry behind the deadline of its request. */
    @Test
    void testRetryLeavesTimeBeforeTheDeadline() {
        WaitDemand urgent = new WaitDemand(1_000, 600, 2_500, 50, 100);
        assertThat(forecast.refuse(urgent, 1_000, 1_500).retrySeconds()).isEqualTo(0.5);
    }

    /** Guards against a rate that counts places which were free before the backlog. */
    @Test
    void testRateFollowsTheBacklog() {
        forecast.recordWaiting(1, 1_000);
        assertThat(forecast.decide(DEMAND, 2, 1_000)).isEmpty();
        assertThat(forecast.decide(DEMAND, 2, 1_200)).isPresent();
    }
}
