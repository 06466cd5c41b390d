package org.martenwell.exchange;

/**
 * Bounds what callers may send and how long their connections may rest.
 *
 * @param maxHeaderBytes The largest request head, in bytes.
 * @param maxBodyBytes The largest request body, in bytes.
 * @param headerTimeoutMillis How long a head may take to arrive, in milliseconds.
 * @param idleTimeoutMillis How long a connection may rest between requests, in milliseconds.
 */
public record ConnectionLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits while no configuration is known. */
    public static final ConnectionLimits DEFAULTS =
            new ConnectionLimits(16_384, 4 << 20, 3_000, 15_000);
}
