package org.martenwell.gateway;

/** A search for the version of a stream, with what becomes of its result. */
interface PendingInquiry {

    /** {@return the search} */
    OriginInquiry inquiry();

    /**
     * Ends the search if the version is known now.
     *
     * @return {@code true} if it is over.
     */
    boolean resolve();

    /**
     * Ends the search because no peer in contact knows the stream.
     *
     * @return {@code true} if it is over, {@code false} to wait for other information.
     */
    boolean denied();

    /** {@return {@code true} once peers are to be asked} */
    default boolean asksPeers() {
        return true;
    }

    /** Ends the search because not all peers have answered in time. */
    void expired();
}
