package org.martenwell.observe;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The exceptions and errors of this process that nothing else handles, as for lack of heap. */
public final class Defects {

    private static final Logger LOGGER = LogManager.getLogger(Defects.class);

    private static final AtomicLong COUNT = new AtomicLong();

    private Defects() {}

    /**
     * Counts and logs a defect. This method throws nothing, also if the line can't be formatted, so
     * that what has to follow a defect is done.
     *
     * @param thrown The exception or error.
     * @param where What failed: a component, or the task or socket that an event loop ran.
     * @param request The id of the request that is concerned, empty if there is none.
     */
    public static void record(Throwable thrown, Object where, Optional<String> request) {
        COUNT.incrementAndGet();
        try {
            LogEvent event = LogEvent.of("defect").with("in", where);
            request.ifPresent(id -> event.with("request", id));
            LOGGER.error(event.message(), thrown);
        } catch (Throwable unlogged) {
            // The count includes it.
        }
    }

    /** {@return the number of defects since the process started, also those without a line} */
    public static long count() {
        return COUNT.get();
    }
}
