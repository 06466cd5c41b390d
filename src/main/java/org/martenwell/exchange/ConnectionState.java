package org.martenwell.exchange;

import java.util.Locale;

/** The state of a caller's connection. */
public enum ConnectionState {

    /** No request is being received or served. */
    IDLE,

    /** A request has arrived in part. */
    RECEIVING,

    /** A request is being served. */
    SERVING,

    /** A response is complete, but the socket has not accepted all of it. */
    SENDING,

    /** The last response is sent, or is being sent, and further input is discarded. */
    CLOSING;

    /** {@return the name of the state in log lines} */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
