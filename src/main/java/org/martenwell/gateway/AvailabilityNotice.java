package org.martenwell.gateway;

/**
 * A target's statement about its availability, read from the headers of a response.
 *
 * @param draining {@code true} if the target is draining and takes no new requests.
 * @param pauseMillis The length of the pause that the target asks for, in milliseconds, or 0.
 */
public record AvailabilityNotice(boolean draining, long pauseMillis) {}
