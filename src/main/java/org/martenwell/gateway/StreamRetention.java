package org.martenwell.gateway;

/**
 * The time for which streams that began may still run or be resumed. It grows at once with a
 * configuration that allows more time; it shrinks once the streams have ended that began before.
 */
final class StreamRetention {

    /**
     * The number of retentions for which a longer one applies after it was replaced. Other gateways
     * may replace it later.
     */
    private static final int HELD_RETENTIONS = 2;

    private long configuredMillis;

    /** The longest retention that was replaced, in milliseconds. */
    private long heldMillis;

    /** The time until which a replaced retention applies, in milliseconds. */
    private long heldUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a retention.
     *
     * @param millis The retention without a configuration, in milliseconds.
     */
    StreamRetention(long millis) {
        configuredMillis = millis;
    }

    /**
     * Applies the retention that a configuration requires.
     *
     * @param millis The retention, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    void configure(long millis, long now) {
        if (millis < configuredMillis) {
            heldMillis = Math.max(millis(now), configuredMillis);
            heldUntilMillis = Math.max(heldUntilMillis, now + HELD_RETENTIONS * configuredMillis);
        }
        configuredMillis = millis;
    }

    /**
     * Returns the retention that applies.
     *
     * @param now The current time, in milliseconds.
     * @return The retention, in milliseconds.
     */
    long millis(long now) {
        return now < heldUntilMillis ? Math.max(heldMillis, configuredMillis) : configuredMillis;
    }

    /**
     * Returns by how much the retention exceeds that of a gateway that starts now.
     *
     * @param now The current time, in milliseconds.
     * @return The difference, in milliseconds.
     */
    long excessMillis(long now) {
        return millis(now) - configuredMillis;
    }
}
