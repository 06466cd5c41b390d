package org.martenwell.balance;

/** The source from which a gateway learns that a target is draining or no longer listed. */
public enum NoticeSource {
    /** A response of the target. */
    ANSWER,
    /** The target's directory entry. */
    DIRECTORY,
    /** A report of a peer. */
    PEER
}
