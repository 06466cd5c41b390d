package org.martenwell.version;

/**
 * The last time at which the directory listed a version.
 *
 * @param version The version.
 * @param ageMillis The time since then, in milliseconds, 0 if it is listed now, negative if it has
 *     to be remembered for longer than the receiver's retention.
 */
public record VersionSighting(ServiceVersion version, long ageMillis) {}
