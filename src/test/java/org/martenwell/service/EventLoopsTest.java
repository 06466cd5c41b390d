package org.martenwell.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.observe.Defects;

/** Guards against defects that nobody sees, since their log lines fail as well. */
final class EventLoopsTest {

    private final EventLoopThread thread = EventLoopThread.start("failing-lines");

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testDefectWithoutALineIsCounted() {
        long before = Defects.count();
        thread.loop().execute(() -> thread.loop().post(new UnloggableTask()));
        await(() -> Defects.count() > before);
        assertThat(thread.call(() -> Promise.of(1))).isOne();
    }

    /** A task that fails, and can't be formatted either, as for lack of heap. */
    private static final class UnloggableTask implements Runnable {

        @Override
        public void run() {
            throw new OutOfMemoryError("deliberate");
        }

        @Override
        public String toString() {
            throw new OutOfMemoryError("deliberate, of the line");
        }
    }
}
