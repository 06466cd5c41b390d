package org.martenwell.target;

import java.util.List;
import org.martenwell.http.HeaderField;

/** A request to a target, independent of the transport. */
public final class TargetRequest {

    private final String id;

    private final String method;

    private final String pathAndQuery;

    private final List<HeaderField> headers;

    private final byte[] body;

    private final int priority;

    private final boolean repeatable;

    private final long timeoutMillis;

    /**
     * Creates a request.
     *
     * @param id The request's id, the same for all attempts.
     * @param method The HTTP method.
     * @param pathAndQuery The path and query.
     * @param headers The header fields of the caller to forward.
     * @param body The body, not copied.
     * @param priority The priority within the organisation.
     * @param repeatable {@code true} if the request may be sent more than once.
     * @param timeoutMillis The time until the response head must arrive, in milliseconds.
     */
    public TargetRequest(
            String id,
            String method,
            String pathAndQuery,
            List<HeaderField> headers,
            byte[] body,
            int priority,
            boolean repeatable,
            long timeoutMillis) {
        this.id = id;
        this.method = method;
        this.pathAndQuery = pathAndQuery;
        this.headers = List.copyOf(headers);
        this.body = body;
        this.priority = priority;
        this.repeatable = repeatable;
        this.timeoutMillis = timeoutMillis;
    }

    /** {@return the request's id, the same for all attempts} */
    public String id() {
        return id;
    }

    /** {@return the HTTP method} */
    public String method() {
        return method;
    }

    /** {@return the path and query} */
    public String pathAndQuery() {
        return pathAndQuery;
    }

    /** {@return the caller's header fields to forward} */
    public List<HeaderField> headers() {
        return headers;
    }

    /** {@return the body, not copied} */
    public byte[] body() {
        return body;
    }

    /** {@return the priority within the organisation} */
    public int priority() {
        return priority;
    }

    /** {@return {@code true} if the request may be sent more than once} */
    public boolean repeatable() {
        return repeatable;
    }

    /** {@return the time until the response head must arrive, in milliseconds} */
    public long timeoutMillis() {
        return timeoutMillis;
    }
}
