package org.martenwell.gateway;

/** The source from which a gateway learns that a target crashed. */
enum CrashSource {
    /** A refused connection that was opened behind a failed attempt or the end of a response. */
    PROBE(true),
    /** A refused connection that was opened for a request. */
    CONNECTION(true),
    /** A response by which another target listens at the address. */
    ANSWER(true),
    /** The removal of the target's directory entry, or another entry at its address. */
    DIRECTORY(false);

    private final boolean immediate;

    CrashSource(boolean immediate) {
        this.immediate = immediate;
    }

    /**
     * Returns whether the source shows the target's address as it is now.
     *
     * @return {@code false} if it follows seconds later, when the target may be back.
     */
    boolean immediate() {
        return immediate;
    }
}
