package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * A caller's connection that was closed. After a graceful close, its state is that in which the
 * close was decided.
 *
 * @param reason The reason for the close.
 * @param state The state before the close.
 * @param stateMillis The time since the state began, in milliseconds. While a request is served,
 *     the time since its first byte.
 * @param lateMillis The part of this time for which the event loop was late, in milliseconds.
 * @param bytes The bytes that never reached the other side's application.
 * @param limits The limits on the state.
 * @param unanswered The headers of a complete request of which no byte of a response was sent,
 *     empty if there is none.
 */
public record ClosedConnection(
        CloseReason reason,
        ConnectionState state,
        long stateMillis,
        long lateMillis,
        LostBytes bytes,
        ConnectionLimits limits,
        Optional<HttpHeaders> unanswered) {

    /**
     * Returns the connection with other numbers of lost bytes.
     *
     * @param lost The bytes that never reached the other side's application.
     * @return The connection.
     */
    ClosedConnection withBytes(LostBytes lost) {
        return new ClosedConnection(
                reason, state, stateMillis, lateMillis, lost, limits, unanswered);
    }

    /**
     * Returns whether the close is worth a log line: it was unannounced, or a request or response
     * was lost by it.
     *
     * @return {@code true} if a caller may lack a response because of it.
     */
    public boolean notable() {
        return reason.unannounced()
                || unanswered.isPresent()
                || (reason == CloseReason.RESPONSE_COMPLETE && bytes.discarded() > 0)
                || ((reason == CloseReason.UNREAD || reason == CloseReason.NO_MEMORY)
                        && bytes.lostByReset());
    }
}
