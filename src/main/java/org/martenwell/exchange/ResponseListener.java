package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request, on the event loop. {@link #completed} or {@link #failed} is
 * the last call; neither is called once the connection is cancelled. A method that throws is
 * followed by {@link #failed} with {@link ResponseFailure#DEFECT}, also {@link #completed}.
 */
public interface ResponseListener {

    /**
     * Decides whether a response matches the request. A response that doesn't is discarded, and the
     * next one on the connection is awaited.
     *
     * @param head The response head.
     * @return {@code true} if the response matches.
     */
    boolean belongs(HttpResponse head);

    /**
     * Called with the head of each final response that is discarded.
     *
     * @param head The response head.
     */
    default void discarded(HttpResponse head) {}

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
