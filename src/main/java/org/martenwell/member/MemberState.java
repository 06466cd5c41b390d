package org.martenwell.member;

/** State of a member, according to its heartbeats. */
public enum MemberState {

    /** Heartbeats arrive in time. */
    ALIVE,

    /** Heartbeats are late; the member is removed unless one arrives. */
    SUSPECTED
}
