package org.martenwell.once;

import java.util.Optional;

/**
 * Records the response of a claimed request that ran. Has no effect unless the request holds the
 * claim.
 *
 * @param key The qualified key.
 * @param requestId The request that claimed the key.
 * @param response The response, which is stored only if it is small enough.
 */
record RecordResponseOperation(String key, String requestId, StoredResponse response)
        implements LedgerOperation {

    @Override
    public void apply(LedgerClaims claims) {
        claims.findForRequest(key, requestId)
                .ifPresent(
                        claim ->
                                claims.put(
                                        new Claim(
                                                key,
                                                requestId,
                                                claim.keyMillis(),
                                                ClaimState.RAN,
                                                Optional.of(response)
                                                        .filter(StoredResponse::fits))));
    }
}
