package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the head of every response of a target, including those that belong to no pending
 * request. Called on the event loop.
 */
public interface ResponseHeadListener {

    /** A listener that ignores all heads. */
    ResponseHeadListener NONE = head -> {};

    /**
     * Called for each response head, before the listener of the request.
     *
     * @param head The response head.
     */
    void headReceived(HttpResponse head);

    /**
     * Called after {@link #headReceived} for each response head that no request awaits.
     *
     * @param head The response head.
     */
    default void unrequested(HttpResponse head) {}
}
