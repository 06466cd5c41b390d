package org.martenwell.gateway;

import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.RequestSummary;

/**
 * A request that was in progress at a target when the target may have crashed. It doesn't reference
 * the body.
 *
 * @param fingerprint The fingerprint, by which a repeated request is recognised.
 * @param summary The description that is shown to operators.
 */
record SuspectRequest(Fingerprint fingerprint, RequestSummary summary) {}
