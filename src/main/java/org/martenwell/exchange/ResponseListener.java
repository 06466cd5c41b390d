package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * Receives the response to one request, on the event loop. {@link #completed} or {@link #failed} is
 * the last call; neither is called once the connection is cancelled. A method that throws is
 * followed by {@link #failed} with {@link ResponseFailure#DEFECT}, also {@link #completed}.
 */
public interface ResponseListener {

    /**
     * Returns the id that responses to the request name.
     *
     * @return The id, or empty if they name none.
     */
    default Optional<String> requestId() {
        return Optional.empty();
    }

    /**
     * Decides whether a connection can carry the request. It can't if the response to the request
     * could not be told from a further response to a request that the connection has carried.
     *
     * @param history The requests that the connection has carried.
     * @return {@code true} if the connection can carry the request.
     */
    default boolean accepts(ConnectionHistory history) {
        return true;
    }

    /**
     * Compares a final response with the request. A response that isn't accepted is discarded, and
     * the next one on the connection is awaited.
     *
     * @param head The response head.
     * @return The match.
     */
    ResponseMatch match(HttpResponse head);

    /**
     * Returns whether a head that stands within a close-delimited body is that of a further
     * response.
     *
     * @param head The head.
     * @return {@code false} if it is a part of the body.
     */
    default boolean recognises(HttpResponse head) {
        return false;
    }

    /**
     * Called with the head of each final response that is discarded.
     *
     * @param head The response head.
     * @param match The match, by which it is discarded.
     */
    default void discarded(HttpResponse head, ResponseMatch match) {}

    /**
     * Called with the head of the matching response.
     *
     * @param head The response head.
     */
    void headReceived(HttpResponse head);

    /**
     * Called for each non-empty piece of the response body.
     *
     * @param piece The bytes, owned by the listener.
     */
    void bodyPartReceived(byte[] piece);

    /**
     * Called once the response has ended. With {@link ResponseFraming#CLOSE_DELIMITED} the body may
     * be truncated.
     *
     * @param framing The way in which the end was determined.
     */
    void completed(ResponseFraming framing);

    /**
     * Called when no complete response can arrive any more.
     *
     * @param failure The reason.
     */
    void failed(ResponseFailure failure);
}
