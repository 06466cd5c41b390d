package org.martenwell.share;

import java.util.Locale;
import org.martenwell.error.ErrorKind;

/** What became of a request to an engine at one gateway. */
public enum Disposition {

    /** An engine began to respond. */
    SERVED,

    /** Refused because its organisation exceeds its share. */
    REFUSED,

    /** Refused because the gateway is overloaded. */
    OVERLOADED,

    /** Refused because no engine had capacity in time. */
    WAITED,

    /** The caller left, or the deadline passed before an engine began to respond. */
    DEADLINE,

    /** Ended for any other reason, such as a failure of its target. */
    FAILED;

    /**
     * Returns the disposition of a request that ended before an engine began to respond.
     *
     * @param kind The error that ended it.
     * @return The disposition.
     */
    public static Disposition of(ErrorKind kind) {
        return switch (kind) {
            case RATE_EXCEEDED -> REFUSED;
            case ROUTER_FULL -> OVERLOADED;
            case WAIT_TOO_LONG -> WAITED;
            case CALLER_LEFT, TARGET_TIMEOUT -> DEADLINE;
            default -> FAILED;
        };
    }

    /** {@return the name in logs and reports} */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
