package org.martenwell.exchange;

import java.util.Locale;

/** The reason for which a caller's connection was closed. */
public enum CloseReason {

    /** No request arrived within the idle timeout. */
    IDLE_TIMEOUT(true),

    /** A request didn't arrive completely within the header timeout. */
    REQUEST_TIMEOUT(true),

    /** The limit of connections was reached and this one had been idle for longest. */
    CONNECTION_LIMIT(true),

    /** The connection was idle during a graceful shutdown. */
    DRAIN(true),

    /** The server stopped. */
    STOP(true),

    /** The caller closed or reset the connection. */
    CALLER_LEFT(false),

    /** A response was aborted. */
    RESPONSE_ABORTED(true),

    /** A step of the connection or the handler of a request failed. */
    DEFECT(true),

    /** A response was complete and announced the close. */
    RESPONSE_COMPLETE(false),

    /** The caller didn't read the last response in time. */
    SLOW_CALLER(true),

    /** The connection had waited for too long to be read; a refusal announced the close. */
    UNREAD(false),

    /** There was no memory for a request; a refusal announced the close. */
    NO_MEMORY(false),

    /** A request was rejected because it is malformed or exceeds a limit. */
    BAD_REQUEST(true);

    private final boolean unannounced;

    CloseReason(boolean unannounced) {
        this.unannounced = unannounced;
    }

    /**
     * Returns whether a close for this reason is worth a log line.
     *
     * @return {@code true} if the server decided on the close and no complete response announced
     *     it.
     */
    public boolean unannounced() {
        return unannounced;
    }

    /** {@return the name of the reason in log lines and metrics} */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
