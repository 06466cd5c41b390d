package org.martenwell.once;

/**
 * A change of a ledger. Applied twice it does no more than once, so it may be applied again
 * whenever it is not known whether a write took effect.
 */
interface LedgerOperation {

    /**
     * Applies the change.
     *
     * @param page The ledger.
     */
    void apply(LedgerClaims page);
}
