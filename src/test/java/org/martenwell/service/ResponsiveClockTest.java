package org.martenwell.service;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against timeouts that take a delay of the event loop for silence of the other side. */
final class ResponsiveClockTest {

    private static final long TIMEOUT_MILLIS = 400;

    /** Longer than the timeout, in milliseconds. */
    private static final long BUSY_MILLIS = 700;

    private static final long SHORT_BUSY_MILLIS = 100;

    private static final int TURNS = 30;

    private static final long POLL_MILLIS = 5;

    private final EventLoopThread thread = EventLoopThread.start("responsive-clock");

    private ResponsiveClock clock;

    @BeforeEach
    void start() {
        clock = thread.call(() -> Promise.of(new ResponsiveClock(thread.loop())));
        thread.call(clock::start);
    }

    @AfterEach
    void stop() {
        thread.call(clock::stop);
        thread.stop();
    }

    @Test
    void testClockFollowsAPunctualLoop() {
        long elapsed =
                thread.call(
                        () -> {
                            SettablePromise<Long> reached = new SettablePromise<>();
                            long startMillis = clock.millis();
                            long loopMillis = thread.loop().currentTimeMillis();
                            pollUntil(startMillis + TIMEOUT_MILLIS, loopMillis, reached);
                            return reached;
                        });
        assertThat(elapsed).isGreaterThanOrEqualTo(TIMEOUT_MILLIS);
    }

    @Test
    void testTimerBehindABusyTurnSeesTheDelayLeftOut() {
        assertThat(elapsedAtATimerBehind(1)).isLessThan(TIMEOUT_MILLIS / 2);
    }

    /** Timers that run one behind another in a turn must not each advance the clock. */
    @Test
    void testTurnOfSeveralBusyTasksSeesTheirDelayLeftOut() {
        assertThat(elapsedAtATimerBehind(3)).isLessThan(TIMEOUT_MILLIS / 2);
    }

    @Test
    void testDelayStaysLeftOut() {
        long omitted =
                thread.call(
                        () -> {
                            block(BUSY_MILLIS);
                            return after(2 * TIMEOUT_MILLIS).map($ -> clock.omittedMillis());
                        });
        assertThat(omitted).isGreaterThanOrEqualTo(BUSY_MILLIS / 2);
    }

    /** A loop that is always late must end real silence, too. */
    @Test
    void testClockAdvancesInEachTurnOfALateLoop() {
        long elapsed =
                thread.call(
                        () -> {
                            SettablePromise<Long> done = new SettablePromise<>();
                            turn(TURNS, clock.millis(), done);
                            return done;
                        });
        assertThat(elapsed).isGreaterThanOrEqualTo(TIMEOUT_MILLIS);
    }

    /** Returns how far the clock gets until a timer fires that several busy timers delay. */
    private long elapsedAtATimerBehind(int busyTimers) {
        return thread.call(
                () -> {
                    SettablePromise<Long> fired = new SettablePromise<>();
                    long startMillis = clock.millis();
                    for (int count = 0; count < busyTimers; count++) {
                        thread.loop().delay(0, () -> block(BUSY_MILLIS));
                    }
                    thread.loop().delay(1, () -> fired.set(clock.millis() - startMillis));
                    return fired;
                });
    }

    private void pollUntil(long clockMillis, long loopStartMillis, SettablePromise<Long> reached) {
        if (clock.millis() >= clockMillis) {
            reached.set(thread.loop().currentTimeMillis() - loopStartMillis);
        } else {
            thread.loop()
                    .delay(POLL_MILLIS, () -> pollUntil(clockMillis, loopStartMillis, reached));
        }
    }

    private void turn(int remaining, long startMillis, SettablePromise<Long> done) {
        if (remaining == 0) {
            done.set(clock.millis() - startMillis);
        } else {
            block(SHORT_BUSY_MILLIS);
            thread.loop().delay(1, () -> turn(remaining - 1, startMillis, done));
        }
    }

    private Promise<Void> after(long millis) {
        SettablePromise<Void> reached = new SettablePromise<>();
        thread.loop().delay(millis, () -> reached.set(null));
        return reached;
    }

    private static void block(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
    }
}
