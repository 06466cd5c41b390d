package org.martenwell.router;

import org.martenwell.error.Outcome;

/**
 * Phase of an attempt. Each phase has the outcome that holds if the attempt fails in it, so that a
 * request that was sent is never reported as not run.
 */
public enum RequestPhase {

    /** Waiting for a slot; nothing was sent to a target. */
    WAITING(Outcome.NOT_RUN),

    /** Bytes may have been sent to a target. */
    SENT(Outcome.UNKNOWN),

    /** The target's response has begun. */
    RESPONDING(Outcome.UNKNOWN),

    /** The complete response was received. */
    COMPLETE(Outcome.RAN);

    private final Outcome outcome;

    /**
     * Creates a phase.
     *
     * @param outcome The outcome of an attempt that fails in this phase.
     */
    RequestPhase(Outcome outcome) {
        this.outcome = outcome;
    }

    /** {@return the outcome of an attempt that fails in this phase} */
    public Outcome outcome() {
        return outcome;
    }
}
