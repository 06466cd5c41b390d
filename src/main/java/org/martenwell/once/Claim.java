package org.martenwell.once;

import java.util.Optional;

/**
 * One key in a ledger.
 *
 * @param key The organisation, the service and the caller's key.
 * @param requestId The id of the request that claimed it, which tells a repeated write from
 *     another's.
 * @param keyMillis When the key was made, in milliseconds since 1970.
 * @param state What is known of the request.
 * @param answer The kept answer.
 */
public record Claim(
        String key,
        String requestId,
        long keyMillis,
        ClaimState state,
        Optional<StoredResponse> answer) {}
