package org.martenwell.route;

/** Type of the requests of a route. */
public enum RouteType {

    /** Idempotent requests, which may run more than once. */
    IDEMPOTENT,

    /** Requests that must run at most once. */
    NON_IDEMPOTENT,

    /** Requests whose response is a stream of events. */
    STREAMING;

    /**
     * Returns {@code true} if a request may run more than once.
     *
     * @param resumable {@code true} if streams of the route may be resumed.
     * @return {@code true} for idempotent requests and resumable streams.
     */
    public boolean repeatable(boolean resumable) {
        return this == IDEMPOTENT || (this == STREAMING && resumable);
    }
}
