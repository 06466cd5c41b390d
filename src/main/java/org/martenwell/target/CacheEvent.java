package org.martenwell.target;

/**
 * A change in an engine's prefix cache, told late or not at all.
 *
 * @param number The event's number at its target, growing with gaps.
 * @param prefix The hash of the prefix.
 * @param held {@code true} if it is held now, {@code false} if it was dropped.
 */
public record CacheEvent(long number, long prefix, boolean held) {}
