package org.martenwell.exchange;

/**
 * Bytes of a closed connection that never reached the other side's application.
 *
 * @param unread The bytes that had arrived but were not read.
 * @param unwritten The bytes of responses that were not written to the socket.
 * @param discarded The bytes that arrived behind the last response and were discarded.
 */
public record LostBytes(int unread, int unwritten, long discarded) {

    /** No lost bytes. */
    static final LostBytes NONE = new LostBytes(0, 0, 0);

    /**
     * Returns whether the close has reset the connection, so that the caller may not get what was
     * written last.
     *
     * @return {@code true} if bytes were unread or unwritten.
     */
    boolean lostByReset() {
        return unread > 0 || unwritten > 0;
    }
}
