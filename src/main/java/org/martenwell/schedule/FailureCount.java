package org.martenwell.schedule;

/**
 * How many of a router's requests failed at a target.
 *
 * @param target The target.
 * @param total The total since the router's start, never falling.
 */
public record FailureCount(String target, long total) {}
