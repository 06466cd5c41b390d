package org.martenwell.exchange;

/**
 * The limits on requests and connections of callers.
 *
 * @param maxHeaderBytes The maximum size of a request's headers, and of its request line, in bytes.
 * @param maxBodyBytes The maximum size of a request body, in bytes.
 * @param headerTimeoutMillis The maximum time from a request's first byte to its last, in
 *     milliseconds.
 * @param idleTimeoutMillis The maximum idle time between requests, in milliseconds.
 */
public record ConnectionLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits until a configuration is loaded. */
    public static final ConnectionLimits DEFAULTS =
            new ConnectionLimits(16_384, 4 << 20, 3_000, 15_000);

    /** Limits that allow nothing. */
    static final ConnectionLimits NONE = new ConnectionLimits(0, 0, 0, 0);

    /**
     * Returns limits that allow whatever either of two allows.
     *
     * @param other The other limits.
     * @return The larger of each limit.
     */
    ConnectionLimits extendedBy(ConnectionLimits other) {
        return new ConnectionLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headerTimeoutMillis, other.headerTimeoutMillis),
                Math.max(idleTimeoutMillis, other.idleTimeoutMillis));
    }
}
