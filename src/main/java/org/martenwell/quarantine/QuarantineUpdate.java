package org.martenwell.quarantine;

/**
 * Quarantine information that gateways gossip about a request. Updates are idempotent and
 * commutative, because a crash is identified by the incarnation that crashed and not merely
 * counted.
 *
 * @param fingerprint The fingerprint of the request.
 * @param kind The kind of update.
 * @param incarnation The incarnation of the target that crashed, empty for other kinds.
 */
public record QuarantineUpdate(
        Fingerprint fingerprint, QuarantineUpdateKind kind, String incarnation) {

    /**
     * Creates an update that reports the crash of a target.
     *
     * @param fingerprint The request that the target was running.
     * @param incarnation The incarnation that crashed.
     * @return The update.
     */
    public static QuarantineUpdate crash(Fingerprint fingerprint, String incarnation) {
        return new QuarantineUpdate(fingerprint, QuarantineUpdateKind.TARGET_CRASHED, incarnation);
    }

    /**
     * Creates an update that reports a request as harmless.
     *
     * @param fingerprint The request.
     * @return The update.
     */
    public static QuarantineUpdate cleared(Fingerprint fingerprint) {
        return new QuarantineUpdate(fingerprint, QuarantineUpdateKind.CLEARED, "");
    }

    /**
     * Creates an update that reports a request as quarantined.
     *
     * @param fingerprint The request.
     * @return The update.
     */
    public static QuarantineUpdate quarantined(Fingerprint fingerprint) {
        return new QuarantineUpdate(fingerprint, QuarantineUpdateKind.QUARANTINED, "");
    }
}
