package org.martenwell.stream;

import java.util.Optional;

/**
 * Complete server-sent events that were received together.
 *
 * @param bytes The events as received, without carriage returns.
 * @param count The number of data lines, without the end marker.
 * @param lastId The id of the last event that has one, with one character per byte, or empty.
 * @param ended {@code true} if the end marker is among the events.
 */
public record EventBatch(EventBytes bytes, int count, Optional<String> lastId, boolean ended) {}
