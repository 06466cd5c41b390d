package org.martenwell.service;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;

/** Creates event loops. */
public final class Loops {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(Loops.class);

    /** Not instantiated. */
    private Loops() {}

    /**
     * Creates a loop for a thread that is still to be started.
     *
     * @param name The thread's name.
     * @return The loop.
     */
    public static Eventloop named(String name) {
        return Eventloop.builder().withThreadName(name).withFatalErrorHandler(Loops::log).build();
    }

    /**
     * Creates a loop for the present thread.
     *
     * @return The loop.
     */
    public static Eventloop current() {
        return Eventloop.builder().withCurrentThread().withFatalErrorHandler(Loops::log).build();
    }

    /**
     * Creates a loop for the present thread whose clock never steps, whatever happens to the time
     * of day.
     *
     * @return The loop.
     */
    public static Eventloop monotonic() {
        return Eventloop.builder()
                .withTimeProvider(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
                .withCurrentThread()
                .withFatalErrorHandler(Loops::log)
                .build();
    }

    /**
     * Logs what the loop takes for a defect. Exceptions with an error kind are none: they go on to
     * whoever waits for the promise.
     *
     * @param thrown What was thrown.
     * @param context Where it was thrown.
     */
    private static void log(Throwable thrown, Object context) {
        if (!(thrown instanceof MartenwellException)) {
            LOGGER.error(LogEvent.of("defect").with("in", context).message(), thrown);
        }
    }
}
