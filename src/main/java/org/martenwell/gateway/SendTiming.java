package org.martenwell.gateway;

/**
 * The circumstances of sending a request to a target, for the log.
 *
 * @param configurationVersion The version of the active configuration.
 * @param heldMillis The time since the request arrived, in milliseconds.
 * @param remainingMillis The time until the request's deadline, in milliseconds.
 */
record SendTiming(long configurationVersion, long heldMillis, long remainingMillis) {}
