package org.martenwell.peer;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of parts of a response to an offloaded request. Their numbers are on the wire. */
public enum ResponsePartKind {

    /** The head of a response in chunks. */
    CHUNKED_HEAD(0),

    /** The head of a response that ends where its connection closes. */
    CLOSE_DELIMITED_HEAD(1),

    /**
     * The head of a response that is too large for one part. It is sent to the caller once its end
     * has arrived, with the length of its body.
     */
    LENGTH_HEAD(2),

    /** A piece of the body. */
    BODY(3),

    /** The end of a response with a head. */
    END(4),

    /** A complete response. */
    WHOLE(5),

    /** The response ends incomplete, or there is none: the request failed or is handed back. */
    BROKEN(6),

    /** The request has not run and never will at the gateway that rejects it. */
    REJECTED(7),

    /** The request has been sent to another target after the first one. */
    SENT_AGAIN(8);

    private final int number;

    ResponsePartKind(int number) {
        this.number = number;
    }

    /** {@return {@code true} if a part of this kind has the status of a response} */
    public boolean hasStatus() {
        return this == CHUNKED_HEAD
                || this == CLOSE_DELIMITED_HEAD
                || this == LENGTH_HEAD
                || this == WHOLE;
    }

    /** {@return the number that identifies the kind in the protocol} */
    int number() {
        return number;
    }

    /**
     * Returns the kind with a number.
     *
     * @param number The number.
     * @return The kind, or empty if the number is unknown.
     */
    static Optional<ResponsePartKind> of(int number) {
        return Arrays.stream(values()).filter(each -> each.number == number).findFirst();
    }
}
