package org.martenwell.once;

import java.util.List;

/**
 * A ledger object as it is stored.
 *
 * @param claims The claims.
 */
record LedgerDocument(List<Claim> claims) {}
