package org.martenwell.route;

/** What kind of requests a route takes. */
public enum RouteType {

    /** Requests that may run more than once. */
    IDEMPOTENT,

    /** Requests that run at most once. */
    NON_IDEMPOTENT,

    /** Requests that are answered by a stream of events. */
    STREAMING;

    /**
     * Returns whether a request may run again.
     *
     * @param resumable Whether streams of the route may be resumed.
     * @return {@code true} if it may.
     */
    public boolean repeatable(boolean resumable) {
        return this == IDEMPOTENT || (this == STREAMING && resumable);
    }
}
