package org.martenwell.standin;

/** How far a stand-in engine is with a request. */
public enum GenerationState {

    /** It waits inside the engine. */
    WAITING,

    /** It runs. */
    RUNNING,

    /** It ended whole. */
    ENDED,

    /** It was cancelled. */
    CANCELLED
}
