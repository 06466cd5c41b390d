package org.martenwell.stream;

import java.util.Optional;

/**
 * Whole events that arrived together.
 *
 * @param bytes The events as they arrived, not copied.
 * @param count How many they are, the end marker not counted.
 * @param lastId The id of the last one that has an id.
 * @param ended {@code true} if the end marker is among them.
 */
public record EventBatch(EventBytes bytes, int count, Optional<String> lastId, boolean ended) {}
