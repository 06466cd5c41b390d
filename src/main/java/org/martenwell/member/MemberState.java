package org.martenwell.member;

/** What is known of a member. */
public enum MemberState {

    /** Its heartbeats arrive. */
    ALIVE,

    /** Its heartbeats are late. */
    SUSPECTED
}
