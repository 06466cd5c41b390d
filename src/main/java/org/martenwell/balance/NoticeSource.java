package org.martenwell.balance;

/** From where a gateway knows what a target says of itself. */
public enum NoticeSource {
    /** An answer of the target. */
    ANSWER,
    /** The target's entry in the directory. */
    DIRECTORY,
    /** A peer's report. */
    PEER
}
