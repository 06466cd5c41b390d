package org.martenwell.gateway;

/** The source from which a gateway learns that a target crashed. */
enum CrashSource {
    /** A refused connection that was opened behind a failed attempt or the end of a response. */
    PROBE,
    /** A refused connection that was opened for a request. */
    CONNECTION,
    /** A response by which another target listens at the address. */
    ANSWER,
    /** The removal of the target's directory entry, or another entry at its address. */
    DIRECTORY
}
