package org.martenwell.gateway;

import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.RequestSummary;

/**
 * A request that a target had when it may have ended. It holds no body.
 *
 * @param fingerprint What makes the request the same one when it comes again.
 * @param summary What operators are told of it.
 */
record SuspectRequest(Fingerprint fingerprint, RequestSummary summary) {}
