package org.martenwell.once;

import java.util.Optional;

/**
 * Records that a claimed request ran.
 *
 * @param key The key.
 * @param requestId The request that claimed it.
 * @param answer The answer.
 */
record RecordResponseOperation(String key, String requestId, StoredResponse answer)
        implements LedgerOperation {

    @Override
    public void apply(LedgerClaims page) {
        page.findOf(key, requestId)
                .ifPresent(
                        claim ->
                                page.put(
                                        new Claim(
                                                key,
                                                requestId,
                                                claim.keyMillis(),
                                                ClaimState.RAN,
                                                Optional.of(answer).filter(StoredResponse::fits))));
    }
}
