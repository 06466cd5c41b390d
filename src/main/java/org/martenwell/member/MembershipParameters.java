package org.martenwell.member;

/**
 * The times that tune membership.
 *
 * @param heartbeatMillis How often a router tells of itself.
 * @param suspectMillis After how long without a heartbeat a router is suspected; it keeps its
 *     targets but gets no new ones.
 * @param removeMillis After how long without a heartbeat a router is removed.
 */
public record MembershipParameters(long heartbeatMillis, long suspectMillis, long removeMillis) {

    /** The times in use unless a test says otherwise. */
    public static final MembershipParameters DEFAULTS = new MembershipParameters(500, 1_500, 3_000);
}
