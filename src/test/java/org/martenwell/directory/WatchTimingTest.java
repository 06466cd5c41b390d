package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how the timing of watches depends on the size of the fleet. */
final class WatchTimingTest {

    /** The time within which a draining target must receive no more requests, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    @Test
    void testSmallFleetBatchesChangesBriefly() {
        assertThat(WatchTiming.of(0).batchMillis()).isZero();
        assertThat(WatchTiming.of(9).batchMillis()).isLessThan(DRAIN_MILLIS / 10);
    }

    /** A fleet that starts together with its targets must not call the store for each of them. */
    @Test
    void testUnknownFleetIsTakenForALargeOne() {
        assertThat(WatchTiming.STARTING.batchMillis())
                .isEqualTo(WatchTiming.of(10_000).batchMillis());
    }

    @Test
    void testTotalWatchRateGrowsSlowerThanTheFleet() {
        double small = 7.0 / WatchTiming.of(7).waitMillis();
        double large = 61.0 / WatchTiming.of(61).waitMillis();
        assertThat(large / small).isLessThan(61.0 / 7 * 0.6);
    }

    @Test
    void testBatchDelayIsLessThanHalfOfTheDrainTime() {
        assertThat(WatchTiming.of(10_000).batchMillis()).isLessThan(DRAIN_MILLIS / 2);
    }

    /** Delays behind additions are jittered up to one and a half times the mean. */
    @Test
    void testDelayBehindAdditionsIsLessThanTheDrainTime() {
        assertThat(1.5 * WatchTiming.of(10_000).additionBatchMillis()).isLessThan(DRAIN_MILLIS);
    }
}
