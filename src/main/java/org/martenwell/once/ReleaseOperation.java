package org.martenwell.once;

/**
 * Removes the claim of a request that did not run and will not run.
 *
 * @param key The qualified key.
 * @param requestId The request that claimed the key.
 */
record ReleaseOperation(String key, String requestId) implements LedgerOperation {

    @Override
    public void apply(LedgerClaims claims) {
        claims.findForRequest(key, requestId)
                .filter(claim -> claim.state() == ClaimState.CLAIMED)
                .ifPresent(claims::remove);
    }
}
