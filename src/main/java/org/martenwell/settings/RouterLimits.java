package org.martenwell.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The limits of a router.
 *
 * @param maxBodyBytes The largest body of a request, in bytes.
 * @param maxConnections The most connections of callers at once.
 * @param maxWaiting The most requests that wait at once.
 * @param maxWaitingBytes The most memory that waiting requests hold, in bytes.
 * @param headerTimeoutMillis How long a caller may take to send or take a message, in milliseconds.
 * @param drainMillis How long a stop waits for requests to end, in milliseconds.
 * @param balancerMillis How long a stopping router goes on taking requests until the balancer has
 *     noticed, in milliseconds.
 */
public record RouterLimits(
        int maxBodyBytes,
        int maxConnections,
        int maxWaiting,
        long maxWaitingBytes,
        long headerTimeoutMillis,
        long drainMillis,
        long balancerMillis) {

    /** The limits in force where the settings name none. */
    public static final RouterLimits DEFAULTS =
            new RouterLimits(4 << 20, 20_000, 10_000, 64L << 20, 30_000, 60_000, 5_000);

    /**
     * Creates limits from settings, with defaults for what is absent.
     *
     * @param maxBodyBytes The largest body or {@code null}.
     * @param maxConnections The most connections or {@code null}.
     * @param maxWaiting The most waiting requests or {@code null}.
     * @param maxWaitingBytes The most memory of waiting requests or {@code null}.
     * @param headerTimeoutMillis The time for a message or {@code null}.
     * @param drainMillis The time for requests to end or {@code null}.
     * @param balancerMillis The time for the balancer or {@code null}.
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

    /**
     * Returns a value or its default.
     *
     * @param value The value or {@code null}.
     * @param otherwise The default.
     * @param <T> The type of the value.
     * @return The value if there is one, else the default.
     */
    private static <T> T orElse(T value, T otherwise) {
        return value == null ? otherwise : value;
    }
}
