/**
 * At-most-once execution over the fleet: routers claim idempotency keys in ledger objects of the
 * platform's object service. Conditional updates ensure that only one request gets the claim of a
 * key.
 */
package org.martenwell.once;
