package org.martenwell.standin;

/** The state of a request in a simulated engine. */
public enum GenerationState {

    /** Queued in the engine. */
    WAITING,

    /** Generating tokens. */
    RUNNING,

    /** Complete. */
    ENDED,

    /** Cancelled before it was complete. */
    CANCELLED
}
