package org.martenwell.member;

/**
 * A router in the membership of another one.
 *
 * @param heartbeat The last heartbeat.
 * @param heartbeatAtMillis The time at which the last heartbeat arrived, in milliseconds.
 * @param state The state of the member.
 */
public record Member(Heartbeat heartbeat, long heartbeatAtMillis, MemberState state) {

    /** {@return the router's name} */
    public String name() {
        return heartbeat.router();
    }
}
