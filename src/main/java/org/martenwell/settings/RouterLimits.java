package org.martenwell.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The limits of a router.
 *
 * @param maxBodyBytes The largest body of a request, in bytes.
 * @param maxConnections The limit on open connections of callers.
 * @param maxWaiting The limit on waiting requests.
 * @param maxWaitingBytes The limit on the memory of waiting requests, in bytes.
 * @param headerTimeoutMillis The timeout for sending or receiving a message on a caller's
 *     connection, in milliseconds.
 * @param drainMillis The time that a drain waits for requests to finish, in milliseconds.
 * @param balancerMillis The time for which a draining router still accepts requests, so that the
 *     load balancer can notice, in milliseconds.
 */
public record RouterLimits(
        int maxBodyBytes,
        int maxConnections,
        int maxWaiting,
        long maxWaitingBytes,
        long headerTimeoutMillis,
        long drainMillis,
        long balancerMillis) {

    /** The default limits. */
    public static final RouterLimits DEFAULTS =
            new RouterLimits(4 << 20, 20_000, 10_000, 64L << 20, 30_000, 60_000, 5_000);

    /**
     * Creates limits from settings; Jackson passes {@code null} for absent fields, which get their
     * defaults.
     *
     * @param maxBodyBytes The largest body of a request, in bytes, or {@code null}.
     * @param maxConnections The limit on connections or {@code null}.
     * @param maxWaiting The limit on waiting requests or {@code null}.
     * @param maxWaitingBytes The limit on the memory of waiting requests, in bytes, or {@code
     *     null}.
     * @param headerTimeoutMillis The timeout for a message, in milliseconds, or {@code null}.
     * @param drainMillis The time limit of a drain, in milliseconds, or {@code null}.
     * @param balancerMillis The time for the load balancer, in milliseconds, or {@code null}.
     * @return The limits.
     */
    @com.fasterxml.jackson.annotation.JsonCreator
    static RouterLimits of(
            @JsonProperty("maxBodyBytes") Integer maxBodyBytes,
            @JsonProperty("maxConnections") Integer maxConnections,
            @JsonProperty("maxWaiting") Integer maxWaiting,
            @JsonProperty("maxWaitingBytes") Long maxWaitingBytes,
            @JsonProperty("headerTimeoutMillis") Long headerTimeoutMillis,
            @JsonProperty("drainMillis") Long drainMillis,
            @JsonProperty("balancerMillis") Long balancerMillis) {
        return new RouterLimits(
                orElse(maxBodyBytes, DEFAULTS.maxBodyBytes),
                orElse(maxConnections, DEFAULTS.maxConnections),
                orElse(maxWaiting, DEFAULTS.maxWaiting),
                orElse(maxWaitingBytes, DEFAULTS.maxWaitingBytes),
                orElse(headerTimeoutMillis, DEFAULTS.headerTimeoutMillis),
                orElse(drainMillis, DEFAULTS.drainMillis),
                orElse(balancerMillis, DEFAULTS.balancerMillis));
    }

    private static <T> T orElse(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }
}
