package org.martenwell.router;

import org.martenwell.error.Outcome;

/**
 * How far a request has come. What may be said of it if it fails follows from the phase alone, so
 * that nobody can say that it did not run once a byte of it was written.
 */
public enum RequestPhase {

    /** It waits for a slot; nothing was written to any target. */
    WAITING(Outcome.NOT_RUN),

    /** Bytes may have been written to a target. */
    WRITTEN(Outcome.UNKNOWN),

    /** The target's answer has begun. */
    ANSWERING(Outcome.UNKNOWN),

    /** The whole answer arrived. */
    ANSWERED(Outcome.RAN);

    /** What is known of a request in this phase. */
    private final Outcome outcome;

    /**
     * Creates a phase.
     *
     * @param outcome What is known of a request in this phase.
     */
    RequestPhase(Outcome outcome) {
        this.outcome = outcome;
    }

    /**
     * Returns what is known of a request in this phase.
     *
     * @return The outcome.
     */
    public Outcome outcome() {
        return outcome;
    }
}
