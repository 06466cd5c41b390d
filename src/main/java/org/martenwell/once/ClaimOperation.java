package org.martenwell.once;

import java.util.Optional;

/**
 * Claims a key, unless it is claimed.
 *
 * @param key The key.
 * @param requestId The request that claims it.
 * @param keyMillis When the key was made, in milliseconds since 1970.
 */
record ClaimOperation(String key, String requestId, long keyMillis) implements LedgerOperation {

    @Override
    public void apply(LedgerClaims page) {
        if (page.find(key).isEmpty()) {
            page.put(new Claim(key, requestId, keyMillis, ClaimState.CLAIMED, Optional.empty()));
        }
    }
}
