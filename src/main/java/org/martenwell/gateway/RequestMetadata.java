package org.martenwell.gateway;

import java.util.Optional;

/**
 * Properties of a request that its caller states in the headers.
 *
 * @param requestId The id that the caller gave to this attempt, or empty.
 * @param host The host that the request is addressed to.
 * @param timeoutMillis The caller's timeout, in milliseconds, or empty if it stated none.
 * @param key The caller's API key with one character per byte, or empty if it sent none.
 * @param lastEventId The id of the last event that the caller received, with one character per
 *     byte, if it resumes a stream.
 * @param resumedAttempt The id of the attempt that brought the first event of the stream that the
 *     caller resumes, or empty if it names none.
 * @param generation The properties of the prompt, or empty if the request is not for a model.
 */
public record RequestMetadata(
        Optional<String> requestId,
        String host,
        Optional<Long> timeoutMillis,
        Optional<String> key,
        Optional<String> lastEventId,
        Optional<String> resumedAttempt,
        Optional<GenerationMetadata> generation) {}
