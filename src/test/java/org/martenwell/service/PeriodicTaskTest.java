package org.martenwell.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against periodic tasks that never run again after one failure. */
final class PeriodicTaskTest {

    private static final long INTERVAL_MILLIS = 10;

    private final EventLoopThread thread = EventLoopThread.start("periodic-task");

    private final AtomicInteger runs = new AtomicInteger();

    private final PeriodicTask task =
            new PeriodicTask(
                    thread.loop(),
                    INTERVAL_MILLIS,
                    () -> {
                        runs.incrementAndGet();
                        throw new OutOfMemoryError("deliberate");
                    });

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testTaskRunsAgainAfterAFailure() {
        thread.call(task::start);
        await(() -> runs.get() > 2);
    }

    @Test
    void testStoppedTaskDoesNotRun() throws InterruptedException {
        thread.call(() -> task.start().then(task::stop).then(() -> Promise.complete()));
        TimeUnit.MILLISECONDS.sleep(10 * INTERVAL_MILLIS);
        assertThat(runs).hasValue(0);
    }
}
