package org.martenwell.gateway;

/**
 * Decides when to request a newer configuration from a peer. The store usually delivers it first,
 * so requests start after a grace period. Only one peer is asked at a time, so that a version that
 * all peers report isn't fetched from each of them.
 */
final class ConfigurationCatchUp {

    /** The time that the store has to deliver a version that a peer reported, in milliseconds. */
    private static final long STORE_GRACE_MILLIS = 120;

    /** The time that a peer has to respond before another is asked, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 200;

    /** The newest version that a peer reported. */
    private long newestReported;

    /**
     * The time at which a version newer than the active one was first reported, in milliseconds.
     */
    private long newerReportedMillis = Long.MAX_VALUE;

    /** The time of the last request, in milliseconds. */
    private long lastRequestMillis = Long.MIN_VALUE / 2;

    /** Creates an instance without any reported version. */
    ConfigurationCatchUp() {}

    /** {@return the newest version that a peer reported, 0 if none} */
    long newestReported() {
        return newestReported;
    }

    /**
     * Processes the version that a peer reports.
     *
     * @param peerVersion The version that is active at the peer.
     * @param ownVersion The version that is active here, 0 if there is none.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the configuration should be requested from that peer now.
     */
    boolean shouldRequest(long peerVersion, long ownVersion, long now) {
        if (peerVersion <= ownVersion) {
            newestReported = Math.max(newestReported, peerVersion);
            return false;
        }
        if (newestReported <= ownVersion || newerReportedMillis == Long.MAX_VALUE) {
            newerReportedMillis = now;
        }
        newestReported = Math.max(newestReported, peerVersion);
        long grace = ownVersion == 0 ? 0 : STORE_GRACE_MILLIS;
        if (now - newerReportedMillis < grace
                || now - lastRequestMillis < RESPONSE_TIMEOUT_MILLIS) {
            return false;
        }
        lastRequestMillis = now;
        return true;
    }
}
