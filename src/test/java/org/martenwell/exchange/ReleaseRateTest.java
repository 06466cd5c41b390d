package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against refused callers that all return before there is room for them. */
final class ReleaseRateTest {

    private static final int BODY_BYTES = 100_000;

    private static final long MAX_MILLIS = 3_000;

    private final ReleaseRate rate = new ReleaseRate();

    @Test
    void testRefusedRequestsReturnOneAfterTheOther() {
        rate.released(10 * BODY_BYTES, 1_000);
        long delayMillis = 0;
        for (int count = 0; count < 20; count++) {
            delayMillis = rate.delayMillis(BODY_BYTES, 1_500, MAX_MILLIS);
        }
        assertThat(delayMillis).isEqualTo(2_000);
    }

    @Test
    void testQueueOfRefusedRequestsDrains() {
        rate.released(10 * BODY_BYTES, 1_000);
        for (int count = 0; count < 20; count++) {
            rate.delayMillis(BODY_BYTES, 1_500, MAX_MILLIS);
        }
        rate.released(10 * BODY_BYTES, 2_500);
        assertThat(rate.delayMillis(BODY_BYTES, 2_500, MAX_MILLIS)).isEqualTo(1_100);
    }

    @Test
    void testLongestDelayHoldsWithoutReleases() {
        rate.released(BODY_BYTES, 1_000);
        assertThat(rate.delayMillis(BODY_BYTES, 5_000, MAX_MILLIS)).isEqualTo(MAX_MILLIS);
    }

    @Test
    void testDelayIsBounded() {
        rate.released(BODY_BYTES, 1_000);
        for (int count = 0; count < 100; count++) {
            assertThat(rate.delayMillis(BODY_BYTES, 1_500, MAX_MILLIS)).isBetween(100L, MAX_MILLIS);
        }
    }
}
