package org.martenwell.http;

import java.util.List;

/** An answer that was read whole. */
public final class HttpAnswer {

    /** The status. */
    private final int status;

    /** The header fields. */
    private final List<HeaderField> headers;

    /** The body. */
    private final byte[] body;

    /**
     * Creates an answer.
     *
     * @param status The status.
     * @param headers The header fields.
     * @param body The body, not copied.
     */
    public HttpAnswer(int status, List<HeaderField> headers, byte[] body) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = body;
    }

    /**
     * Returns the status.
     *
     * @return The status.
     */
    public int status() {
        return status;
    }

    /**
     * Returns the header fields.
     *
     * @return The fields.
     */
    public List<HeaderField> headers() {
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return The body, not copied.
     */
    public byte[] body() {
        return body;
    }
}
