package org.martenwell.once;

import java.util.Optional;

/**
 * Claims a key for a request, unless the key is already claimed.
 *
 * @param key The qualified key.
 * @param requestId The request that claims the key.
 * @param keyMillis The timestamp of the key, in milliseconds since 1970.
 */
record ClaimOperation(String key, String requestId, long keyMillis) implements LedgerOperation {

    @Override
    public void apply(LedgerClaims claims) {
        if (claims.find(key).isEmpty()) {
            claims.put(new Claim(key, requestId, keyMillis, ClaimState.CLAIMED, Optional.empty()));
        }
    }
}
