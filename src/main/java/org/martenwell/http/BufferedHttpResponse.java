package org.martenwell.http;

import java.util.List;

/** A response whose body was read completely. */
public final class BufferedHttpResponse {

    private final int status;

    private final List<HeaderField> headers;

    private final byte[] body;

    /**
     * Creates a response.
     *
     * @param status The HTTP status code.
     * @param headers The header fields.
     * @param body The body, not copied; empty if there is none.
     */
    public BufferedHttpResponse(int status, List<HeaderField> headers, byte[] body) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = body;
    }

    /** {@return the HTTP status code} */
    public int status() {
        return status;
    }

    /** {@return the header fields in the order received} */
    public List<HeaderField> headers() {
        return headers;
    }

    /** {@return the body, not copied; empty if there is none} */
    public byte[] body() {
        return body;
    }
}
