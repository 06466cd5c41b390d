package org.martenwell.gateway;

import java.util.Optional;

/**
 * The circumstances of sending a request to a target, for the log.
 *
 * @param configurationVersion The version of the active configuration.
 * @param heldMillis The time since the request arrived, in milliseconds.
 * @param remainingMillis The time until the request's deadline, in milliseconds.
 * @param resumes The id of the attempt that brought the first event of the stream that the request
 *     resumes, the request's own within a response; empty if no event was forwarded before.
 */
record SendTiming(
        long configurationVersion,
        long heldMillis,
        long remainingMillis,
        Optional<String> resumes) {}
