package org.martenwell.share;

import java.util.Locale;
import org.martenwell.error.ErrorKind;

/** The decision by which a gateway refused a request to an engine. */
public enum RefusalReason {

    /** The heap of the gateway is nearly full. */
    HEAP(ErrorKind.ROUTER_FULL),

    /** The event loop of the gateway lags. */
    LOOP_LAG(ErrorKind.ROUTER_FULL),

    /** The gateway uses all of the processor time that its box grants. */
    PROCESSOR(ErrorKind.ROUTER_FULL),

    /** The organisation exceeds both of its shares, and no engine has room for that. */
    SHARE(ErrorKind.RATE_EXCEEDED),

    /** The organisation got far more than one that is held up. */
    LEAD(ErrorKind.RATE_EXCEEDED),

    /** All engines are reserved for requests within promised shares. */
    RESERVE(ErrorKind.RATE_EXCEEDED),

    /** No engine had capacity in time. */
    ENGINES_FULL(ErrorKind.WAIT_TOO_LONG);

    private final ErrorKind kind;

    RefusalReason(ErrorKind kind) {
        this.kind = kind;
    }

    /** {@return the error with which the request is refused} */
    public ErrorKind kind() {
        return kind;
    }

    /** {@return the name in logs} */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
