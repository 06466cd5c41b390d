package org.martenwell.schedule;

/**
 * Number of a router's requests that failed at a target.
 *
 * @param target The target's name.
 * @param total The total since the router's start; never decreases.
 */
public record FailureCount(String target, long total) {}
