package org.martenwell.once;

import java.util.List;

/**
 * JSON form of a ledger object.
 *
 * @param claims The claims.
 */
record LedgerDocument(List<Claim> claims) {}
