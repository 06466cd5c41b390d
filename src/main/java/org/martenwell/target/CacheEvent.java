package org.martenwell.target;

/**
 * A change in an engine's prefix cache. Events may be delayed or missing.
 *
 * @param number The sequence number at its target, increasing with gaps.
 * @param prefix The hash of the prefix.
 * @param held {@code true} if the prefix was added, {@code false} if it was evicted.
 */
public record CacheEvent(long number, long prefix, boolean held) {}
