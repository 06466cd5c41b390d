package org.martenwell.service;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.common.recycle.Recyclers;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.function.LongSupplier;

/**
 * A timeout for the silence of another process. It expires only behind a read of the event loop's
 * sockets, so what has arrived while the loop was busy is processed first. With a {@link
 * ResponsiveClock}, delays of the loop extend it.
 */
public final class ResponseTimeout {

    /** The least delay of a timer that fires in a later turn of the loop, in milliseconds. */
    private static final long NEXT_TURN_MILLIS = 1;

    private final NioReactor reactor;

    private final LongSupplier clock;

    private final long timeoutMillis;

    private final Runnable listener;

    private ScheduledRunnable timer;

    /** The time of the start or of the last restart on the clock, in milliseconds. */
    private long startedMillis;

    /** The time for which the timer is scheduled on the loop's clock, in milliseconds. */
    private long dueMillis;

    private ResponseTimeout(
            NioReactor reactor, LongSupplier clock, long timeoutMillis, Runnable listener) {
        this.reactor = reactor;
        this.clock = clock;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    /**
     * Starts a timeout.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it the timeout is measured.
     * @param timeoutMillis The timeout, in milliseconds.
     * @param listener Called once when the timeout expires.
     * @return The timeout.
     */
    public static ResponseTimeout start(
            NioReactor reactor, LongSupplier clock, long timeoutMillis, Runnable listener) {
        ResponseTimeout timeout = new ResponseTimeout(reactor, clock, timeoutMillis, listener);
        timeout.restart();
        timeout.schedule(timeoutMillis);
        return timeout;
    }

    /**
     * Runs an action behind the next read of the loop's sockets.
     *
     * @param reactor The event loop.
     * @param action The action.
     */
    public static void afterNextRead(NioReactor reactor, Runnable action) {
        reactor.delayBackground(NEXT_TURN_MILLIS, action);
    }

    /**
     * Limits the time for a promise that another process completes.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it the timeout is measured.
     * @param timeoutMillis The timeout, in milliseconds.
     * @param response The promise; a result that comes behind the timeout is recycled.
     * @param <T> The type of the result.
     * @return The result of the promise, or an {@link AsyncTimeoutException}.
     */
    public static <T> Promise<T> limit(
            NioReactor reactor, LongSupplier clock, long timeoutMillis, Promise<T> response) {
        if (response.isComplete()) {
            return response;
        }
        SettablePromise<T> limited = new SettablePromise<>();
        ResponseTimeout timeout =
                start(
                        reactor,
                        clock,
                        timeoutMillis,
                        () ->
                                limited.setException(
                                        new AsyncTimeoutException("No response in time")));
        response.subscribe(
                (result, failure) -> {
                    if (limited.trySet(result, failure)) {
                        timeout.cancel();
                    } else {
                        Recyclers.recycle(result);
                    }
                });
        return limited;
    }

    /** Starts to measure anew, since the other process has sent something. */
    public void restart() {
        startedMillis = clock.getAsLong();
    }

    /** Ends the timeout, so that it doesn't expire. */
    public void cancel() {
        timer.cancel();
    }

    /** {@return the time by which the last timer fired late, in milliseconds} */
    public long lateMillis() {
        return Math.max(0, reactor.currentTimeMillis() - dueMillis);
    }

    private void schedule(long delayMillis) {
        dueMillis = reactor.currentTimeMillis() + delayMillis;
        timer = reactor.delayBackground(delayMillis, this::check);
    }

    private void check() {
        if (remainingMillis() > 0) {
            schedule(remainingMillis());
        } else {
            timer = reactor.delayBackground(NEXT_TURN_MILLIS, this::checkAgain);
        }
    }

    /** Expires unless something has been read in the meantime. */
    private void checkAgain() {
        if (remainingMillis() > 0) {
            schedule(remainingMillis());
        } else {
            listener.run();
        }
    }

    private long remainingMillis() {
        return timeoutMillis - (clock.getAsLong() - startedMillis);
    }
}
