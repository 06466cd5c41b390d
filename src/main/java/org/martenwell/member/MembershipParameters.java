package org.martenwell.member;

/**
 * Times of failure detection by heartbeats.
 *
 * @param heartbeatMillis The interval at which a router sends heartbeats, in milliseconds.
 * @param suspectMillis The time without a heartbeat after which a router is suspected, in
 *     milliseconds.
 * @param removeMillis The time without a heartbeat after which a router is removed, in
 *     milliseconds.
 */
public record MembershipParameters(long heartbeatMillis, long suspectMillis, long removeMillis) {

    /** The times used in production. */
    public static final MembershipParameters DEFAULTS = new MembershipParameters(500, 1_500, 3_000);
}
