package org.martenwell.service;

import java.util.Optional;
import org.martenwell.observe.Defects;

/**
 * A barrier between a chain of calls, each of which schedules the next one, and the code that
 * processes their results. A failure of that code ends its step, but not the chain.
 */
public final class FailureBarrier {

    private FailureBarrier() {}

    /**
     * Runs a step. An exception or error of the step is recorded as a defect.
     *
     * @param name The name of the chain in log lines.
     * @param step The step, which schedules the next call.
     * @param recovery Runs if the step failed, and schedules the next call in its place.
     */
    public static void run(String name, Runnable step, Runnable recovery) {
        try {
            step.run();
        } catch (Throwable failure) {
            Defects.record(failure, name, Optional.empty());
            recovery.run();
        }
    }
}
