package org.martenwell.quarantine;

import java.util.Optional;
import org.martenwell.error.ErrorKind;

/** Quarantine state of a request. */
public enum QuarantineState {

    /** The request is sent as usual. */
    FREE(Optional.empty()),

    /**
     * The request has reached the crash threshold and is refused until the decision delay has
     * passed.
     */
    UNDECIDED(Optional.of(ErrorKind.MAY_END_TARGETS)),

    /** The request is quarantined and refused. */
    QUARANTINED(Optional.of(ErrorKind.ENDS_TARGETS));

    /** The error for a request in this state, empty if it may be sent. */
    private final Optional<ErrorKind> refusal;

    QuarantineState(Optional<ErrorKind> refusal) {
        this.refusal = refusal;
    }

    /**
     * Returns the state of a request of which several things are known.
     *
     * @param other Another state.
     * @return The stricter one of both.
     */
    public QuarantineState or(QuarantineState other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Returns the error with which a request in this state is refused.
     *
     * @return The kind of error, empty if the request may be sent.
     */
    public Optional<ErrorKind> refusal() {
        return refusal;
    }
}
