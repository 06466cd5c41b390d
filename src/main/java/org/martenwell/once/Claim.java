package org.martenwell.once;

import java.util.Optional;

/**
 * Claim of an idempotency key.
 *
 * @param key The qualified key: the organisation, the service and the caller's key.
 * @param requestId The request that holds the claim. It distinguishes a retried write from the
 *     claim of another request.
 * @param keyMillis The timestamp of the key, in milliseconds since 1970.
 * @param state The state of the request.
 * @param answer The stored response, or empty if there is none yet or it was too large.
 */
public record Claim(
        String key,
        String requestId,
        long keyMillis,
        ClaimState state,
        Optional<StoredResponse> answer) {}
