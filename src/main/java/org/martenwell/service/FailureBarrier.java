package org.martenwell.service;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/**
 * A barrier between a chain of calls, each of which schedules the next one, and the code that
 * processes their results. A failure of that code ends its step, but not the chain.
 */
public final class FailureBarrier {

    private static final Logger LOGGER = LogManager.getLogger(FailureBarrier.class);

    private FailureBarrier() {}

    /**
     * Runs a step. An exception or error of the step is logged.
     *
     * @param name The name of the chain in log lines.
     * @param step The step, which schedules the next call.
     * @param recovery Runs if the step failed, and schedules the next call in its place.
     */
    public static void run(String name, Runnable step, Runnable recovery) {
        try {
            step.run();
        } catch (Throwable failure) {
            recovery.run();
            LOGGER.error(LogEvent.of("defect").with("in", name).message(), failure);
        }
    }
}
