package org.martenwell.once;

/**
 * Change of a ledger object. Operations are idempotent, so that they can be applied again when the
 * result of a write is unknown.
 */
interface LedgerOperation {

    /**
     * Applies the change.
     *
     * @param claims The claims to change.
     */
    void apply(LedgerClaims claims);
}
