package org.martenwell.exchange;

/**
 * A caller's connection that was closed. After a graceful close, its state is that in which the
 * close was decided.
 *
 * @param reason The reason for the close.
 * @param state The state before the close.
 * @param stateMillis The time since the state began, in milliseconds. While a request is served,
 *     the time since its first byte.
 * @param lateMillis The part of this time for which the event loop was late, in milliseconds.
 * @param unreadBytes The bytes that had arrived but were not read.
 * @param unwrittenBytes The bytes of responses that were not written to the socket.
 * @param limits The limits on the state.
 */
public record ClosedConnection(
        CloseReason reason,
        ConnectionState state,
        long stateMillis,
        long lateMillis,
        int unreadBytes,
        int unwrittenBytes,
        ConnectionLimits limits) {

    /**
     * Returns the connection with other numbers of bytes.
     *
     * @param unread The bytes that had arrived but were not read.
     * @param unwritten The bytes of responses that were not written to the socket.
     * @return The connection.
     */
    ClosedConnection withBytes(int unread, int unwritten) {
        return new ClosedConnection(
                reason, state, stateMillis, lateMillis, unread, unwritten, limits);
    }
}
