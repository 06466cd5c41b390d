package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;

/** Tests detection of a nearly full heap, with a simulated clock. */
final class HeapMonitorTest {

    /** Longer than the initial delay and the check interval, in milliseconds. */
    private static final long LATER_MILLIS = 5_000;

    private long nowMillis = 1;

    private double occupancy;

    private int collections;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final HeapMonitor monitor =
            new HeapMonitor(loop, new GatewayLog(loop), () -> occupancy, () -> collections++);

    @Test
    void testNoForcedCollectionBelowTheLimit() {
        occupancy = 0.8;
        monitor.start();
        advanceClock();
        assertThat(monitor.nearlyFull()).isFalse();
        assertThat(collections).isZero();
    }

    /**
     * Guards against a gateway that refuses requests forever: without requests there are no
     * collections, so the occupancy would never be updated.
     */
    @Test
    void testCollectionIsForcedWhileTheHeapIsNearlyFull() {
        occupancy = 0.9;
        monitor.start();
        advanceClock();
        assertThat(monitor.nearlyFull()).isTrue();
        advanceClock();
        assertThat(collections).isEqualTo(1);
        occupancy = 0.5;
        advanceClock();
        assertThat(monitor.nearlyFull()).isFalse();
        advanceClock();
        assertThat(collections).isEqualTo(2);
    }

    @Test
    void testNoChecksAfterStop() {
        monitor.start();
        monitor.stop();
        occupancy = 0.9;
        advanceClock();
        assertThat(monitor.nearlyFull()).isFalse();
    }

    private void advanceClock() {
        loop.post(() -> {});
        nowMillis += LATER_MILLIS;
        loop.run();
    }
}
