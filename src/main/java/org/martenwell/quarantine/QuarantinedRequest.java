package org.martenwell.quarantine;

import java.util.Set;

/**
 * A quarantined request as stored in the directory.
 *
 * @param fingerprint The fingerprint of the request.
 * @param summary The description shown to operators.
 * @param crashedIncarnations The incarnations of targets that crashed while running the request;
 *     for operators only.
 * @param gateway The name of the gateway that stored the entry.
 * @param sinceMillis The time at which the request was quarantined, in milliseconds since the Unix
 *     epoch.
 */
public record QuarantinedRequest(
        Fingerprint fingerprint,
        RequestSummary summary,
        Set<String> crashedIncarnations,
        String gateway,
        long sinceMillis) {}
