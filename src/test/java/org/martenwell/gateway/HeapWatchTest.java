package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;

/** Tests when a gateway takes its heap for nearly full, with a clock that only the test moves. */
final class HeapWatchTest {

    /** Longer than it takes until the heap is looked at, in milliseconds. */
    private static final long LATER_MILLIS = 5_000;

    private long nowMillis = 1;

    private double filled;

    private int collections;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final HeapWatch watch =
            new HeapWatch(loop, new GatewayLog(loop), () -> filled, () -> collections++);

    @Test
    void testHeapWithRoomIsNotCollectedOnPurpose() {
        filled = 0.8;
        watch.start();
        pass();
        assertThat(watch.nearlyFull()).isFalse();
        assertThat(collections).isZero();
    }

    /** Without collections a gateway that serves nothing would never learn that it has room. */
    @Test
    void testHeapThatIsNearlyFullIsCollectedUntilItHasRoom() {
        filled = 0.9;
        watch.start();
        pass();
        assertThat(watch.nearlyFull()).isTrue();
        pass();
        assertThat(collections).isEqualTo(1);
        filled = 0.5;
        pass();
        assertThat(watch.nearlyFull()).isFalse();
        pass();
        assertThat(collections).isEqualTo(2);
    }

    @Test
    void testStoppedWatchLooksNoMore() {
        watch.start();
        watch.stop();
        filled = 0.9;
        pass();
        assertThat(watch.nearlyFull()).isFalse();
    }

    private void pass() {
        loop.post(() -> {});
        nowMillis += LATER_MILLIS;
        loop.run();
    }
}
