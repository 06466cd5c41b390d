package org.martenwell.once;

/**
 * Gives up a claim, because its request certainly did not run and will not.
 *
 * @param key The key.
 * @param requestId The request that claimed it.
 */
record ReleaseOperation(String key, String requestId) implements LedgerOperation {

    @Override
    public void apply(LedgerClaims page) {
        page.findOf(key, requestId)
                .filter(claim -> claim.state() == ClaimState.CLAIMED)
                .ifPresent(page::remove);
    }
}
