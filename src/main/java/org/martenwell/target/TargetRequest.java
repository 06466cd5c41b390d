package org.martenwell.target;

import java.util.List;
import org.martenwell.http.HeaderField;

/** One request as it is sent to a target. */
public final class TargetRequest {

    /** The request's id, the same over all attempts. */
    private final String id;

    /** The method. */
    private final String method;

    /** The path and query. */
    private final String pathAndQuery;

    /** The header fields that callers sent and that go on. */
    private final List<HeaderField> headers;

    /** The body. */
    private final byte[] body;

    /** The priority within the organisation. */
    private final int priority;

    /** {@code true} if the request may be sent again. */
    private final boolean repeatable;

    /** How long until the answer must begin, in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a request.
     *
     * @param id The request's id, the same over all attempts.
     * @param method The method.
     * @param pathAndQuery The path and query.
     * @param headers The header fields that callers sent and that go on.
     * @param body The body, not copied.
     * @param priority The priority within the organisation.
     * @param repeatable {@code true} if the request may be sent again.
     * @param timeoutMillis How long until the answer must begin, in milliseconds.
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

    /**
     * Returns the request's id.
     *
     * @return The id, the same over all attempts.
     */
    public String id() {
        return id;
    }

    /**
     * Returns the method.
     *
     * @return The method.
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path and query.
     *
     * @return The path and query.
     */
    public String pathAndQuery() {
        return pathAndQuery;
    }

    /**
     * Returns the header fields that go on.
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

    /**
     * Returns the priority.
     *
     * @return The priority within the organisation.
     */
    public int priority() {
        return priority;
    }

    /**
     * Returns whether the request may be sent again.
     *
     * @return {@code true} if it may.
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Returns how long until the answer must begin.
     *
     * @return The time in milliseconds.
     */
    public long timeoutMillis() {
        return timeoutMillis;
    }
}
