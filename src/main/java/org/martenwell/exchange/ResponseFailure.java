package org.martenwell.exchange;

/**
 * The reasons for which a request to a target received no complete response. The names of the
 * constants appear in log lines.
 */
public enum ResponseFailure {

    /** Connecting timed out or the address is unreachable; nothing was sent. */
    NOT_CONNECTED(false),

    /** The connection was refused because nothing listens at the address; nothing was sent. */
    REFUSED(false),

    /** The connection closed before a response head arrived. */
    NO_ANSWER(true),

    /** The connection closed or the framing broke after the response head and before its end. */
    BROKEN_OFF(true),

    /** The bytes received are not an HTTP response. */
    MALFORMED(true),

    /** The response is larger than any that is accepted, or has no end. */
    TOO_LARGE(true),

    /** This process failed to process the connection, as for lack of heap. */
    DEFECT(true);

    private final boolean sent;

    /**
     * Creates a failure.
     *
     * @param sent {@code true} if the target may have processed the request.
     */
    ResponseFailure(boolean sent) {
        this.sent = sent;
    }

    /**
     * Maps a failed connection attempt to a failure.
     *
     * @param result The outcome of the attempt, other than {@link ConnectResult#ACCEPTED}.
     * @return {@link #REFUSED} or {@link #NOT_CONNECTED}.
     */
    static ResponseFailure of(ConnectResult result) {
        return result == ConnectResult.REFUSED ? REFUSED : NOT_CONNECTED;
    }

    /**
     * {@return {@code true} if bytes of the request may have been sent, so that it may have run}
     */
    public boolean sent() {
        return sent;
    }
}
