/**
 * At most once over the fleet: claims of idempotency keys, kept in ledger objects on the platform's
 * service, whose versions are the fence.
 */
package org.martenwell.once;
