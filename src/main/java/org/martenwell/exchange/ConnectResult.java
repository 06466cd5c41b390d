package org.martenwell.exchange;

import java.net.ConnectException;

/** The outcome of an attempt to connect to a target. */
public enum ConnectResult {

    /** The connection is established. */
    ACCEPTED,

    /** The connection was refused: the box is up, but no process listens at the address. */
    REFUSED,

    /** The attempt timed out or failed in the network. */
    UNREACHABLE;

    /**
     * Classifies the exception of a failed attempt.
     *
     * @param failure The exception.
     * @return {@link #REFUSED} or {@link #UNREACHABLE}.
     */
    static ConnectResult of(Exception failure) {
        return failure instanceof ConnectException ? REFUSED : UNREACHABLE;
    }
}
