package org.martenwell.gateway;

import java.util.List;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.RequestSummary;

/**
 * A request that was in progress at a target when the target may have crashed. It doesn't reference
 * the body.
 *
 * @param fingerprint The fingerprint, by which a repeated request is recognised.
 * @param summary The description that is shown to operators.
 * @param parts The shared parts of its prompt.
 */
record SuspectRequest(Fingerprint fingerprint, RequestSummary summary, List<SharedPart> parts) {}
