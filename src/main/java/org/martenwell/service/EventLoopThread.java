package org.martenwell.service;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** An event loop that runs on its own daemon thread. */
public final class EventLoopThread {

    private final Eventloop loop;

    private final Thread thread;

    private EventLoopThread(String name, Eventloop loop) {
        this.loop = loop;
        thread = new Thread(loop, name);
        thread.setDaemon(true);
    }

    /**
     * Starts an event loop on a new thread.
     *
     * @param name The name of the thread.
     * @return The running event loop.
     */
    public static EventLoopThread start(String name) {
        return start(name, EventLoops.named(name));
    }

    /**
     * Starts an event loop with a clock of its own on a new thread.
     *
     * @param name The name of the thread.
     * @param clock The clock of the event loop, called on its thread.
     * @return The running event loop.
     */
    public static EventLoopThread start(String name, CurrentTimeProvider clock) {
        return start(name, EventLoops.named(name, clock));
    }

    private static EventLoopThread start(String name, Eventloop loop) {
        EventLoopThread thread = new EventLoopThread(name, loop);
        thread.loop.keepAlive(true);
        thread.thread.start();
        return thread;
    }

    /** {@return the event loop} */
    public Eventloop loop() {
        return loop;
    }

    /**
     * Runs an action on the event loop and blocks until its promise completes. Must not be called
     * from the event loop's own thread.
     *
     * @param action The action, called on the event loop.
     * @param <T> The type of the result.
     * @return The result; failures are thrown as {@link MartenwellException}.
     */
    public <T> T call(Supplier<Promise<T>> action) {
        try {
            return loop.<T>submit(callback -> action.get().subscribe(callback)).get();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "Interrupted while waiting for the event loop.", exception);
        } catch (ExecutionException exception) {
            if (exception.getCause() instanceof MartenwellException known) {
                throw known;
            }
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT,
                    String.valueOf(exception.getCause()),
                    exception.getCause());
        }
    }

    /** Stops the event loop and waits for its thread to end. */
    public void stop() {
        loop.execute(
                () -> {
                    loop.keepAlive(false);
                    loop.breakEventloop();
                });
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
