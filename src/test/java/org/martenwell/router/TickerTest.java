package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;

/** Guards against periodic tasks of a router that never run again after one failure. */
final class TickerTest {

    private static final long INTERVAL_MILLIS = 10;

    private final EventLoopThread thread = EventLoopThread.start("ticker");

    private final AtomicInteger runs = new AtomicInteger();

    private final Ticker ticker = new Ticker(thread.loop());

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testTaskRunsAgainAfterAFailure() {
        thread.call(
                () -> {
                    ticker.every(
                            INTERVAL_MILLIS,
                            () -> {
                                runs.incrementAndGet();
                                throw new OutOfMemoryError("deliberate");
                            });
                    return Promise.complete();
                });
        await(() -> runs.get() > 2);
    }

    @Test
    void testStoppedTickerRunsNoTask() {
        AtomicInteger others = new AtomicInteger();
        thread.call(
                () -> {
                    ticker.every(INTERVAL_MILLIS, runs::incrementAndGet);
                    ticker.stop();
                    new Ticker(thread.loop()).every(INTERVAL_MILLIS, others::incrementAndGet);
                    return Promise.complete();
                });
        await(() -> others.get() > 2 || runs.get() > 0);
        assertThat(runs).hasValue(0);
    }
}
