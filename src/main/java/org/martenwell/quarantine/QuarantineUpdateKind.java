package org.martenwell.quarantine;

import java.util.Arrays;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Kind of a quarantine update. */
public enum QuarantineUpdateKind {

    /** A target crashed while running the request. */
    TARGET_CRASHED(1),

    /** A target completed the request, or an operator released it. */
    CLEARED(2),

    /** The request is quarantined. */
    QUARANTINED(3);

    /** The number of this kind in peer messages. */
    private final int number;

    QuarantineUpdateKind(int number) {
        this.number = number;
    }

    /**
     * Returns the kind with a number. Throws an exception of the kind {@link ErrorKind#BAD_FRAME}
     * if there is none.
     *
     * @param number The number of the kind in peer messages.
     * @return The kind.
     */
    public static QuarantineUpdateKind of(int number) {
        return Arrays.stream(values())
                .filter(each -> each.number == number)
                .findFirst()
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.BAD_FRAME,
                                        "The kind of quarantine update is unknown."));
    }

    /** {@return the number of this kind in peer messages} */
    public int number() {
        return number;
    }
}
