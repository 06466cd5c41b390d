package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how the size of a fleet changes the pace at which it watches a store. */
final class WatchTimingTest {

    /** The shortest time in which a target that leaves must get no more requests. */
    private static final long DRAIN_MILLIS = 2_000;

    @Test
    void testSmallFleetHearsOfChangesAtOnce() {
        assertThat(WatchTiming.of(0).batchMillis()).isZero();
        assertThat(WatchTiming.of(9).batchMillis()).isLessThan(DRAIN_MILLIS / 10);
    }

    @Test
    void testCallsOfAllGatewaysGrowSlowerThanTheFleet() {
        double small = 7.0 / WatchTiming.of(7).waitMillis();
        double large = 61.0 / WatchTiming.of(61).waitMillis();
        assertThat(large / small).isLessThan(61.0 / 7 * 0.6);
    }

    @Test
    void testNoFleetGathersForHalfOfTheTimeInWhichATargetMustDrain() {
        assertThat(WatchTiming.of(10_000).batchMillis()).isLessThan(DRAIN_MILLIS / 2);
    }
}
