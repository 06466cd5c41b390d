package org.martenwell.gateway;

import java.util.Optional;

/**
 * What a caller states about a request.
 *
 * @param requestId The id of the caller's attempt, or empty.
 * @param host The host that the caller names.
 * @param waitMillis How long the caller waits, in milliseconds, or empty.
 * @param key The caller's key.
 * @param lastEventId The last event that the caller has, if it resumes a stream.
 * @param generation What it states about a prompt, if it is for a model.
 */
public record RequestFacts(
        Optional<String> requestId,
        String host,
        Optional<Long> waitMillis,
        Optional<String> key,
        Optional<String> lastEventId,
        Optional<GenerationFacts> generation) {}
