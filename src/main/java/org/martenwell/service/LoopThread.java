package org.martenwell.service;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** An event loop on a thread of its own. */
public final class LoopThread {

    /** The loop. */
    private final Eventloop loop;

    /** The thread. */
    private final Thread thread;

    /**
     * Creates a loop that does not run yet.
     *
     * @param name The thread's name.
     */
    private LoopThread(String name) {
        loop = Loops.named(name);
        thread = new Thread(loop, name);
        thread.setDaemon(true);
    }

    /**
     * Starts a loop on a new thread.
     *
     * @param name The thread's name.
     * @return The running loop.
     */
    public static LoopThread start(String name) {
        LoopThread thread = new LoopThread(name);
        thread.loop.keepAlive(true);
        thread.thread.start();
        return thread;
    }

    /**
     * Returns the loop.
     *
     * @return The loop.
     */
    public Eventloop loop() {
        return loop;
    }

    /**
     * Runs an action in the loop and waits until its promise is complete. Must not be called from
     * the loop's own thread.
     *
     * @param action The action.
     * @param <T> The type of the result.
     * @return The result.
     */
    public <T> T call(Supplier<Promise<T>> action) {
        try {
            return loop.<T>submit(callback -> action.get().subscribe(callback)).get();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw MartenwellException.of(ErrorKind.INTERNAL, "Interrupted.", exception);
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

    /** Ends the loop and waits for its thread. */
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
