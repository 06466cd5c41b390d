package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Is told of the answer to one request. After {@link #ended} or {@link #failed} nothing follows.
 */
public interface AnswerListener {

    /**
     * Tells whether an answer belongs to the request. Others are dropped, and the next is awaited.
     *
     * @param head The answer's head.
     * @return {@code true} if it belongs to the request.
     */
    boolean belongs(HttpResponse head);

    /**
     * Takes the head.
     *
     * @param head The head.
     */
    void begun(HttpResponse head);

    /**
     * Takes a piece of the body.
     *
     * @param piece The piece.
     */
    void received(byte[] piece);

    /** Notes that the whole answer arrived. */
    void ended();

    /**
     * Notes that the answer can't arrive whole.
     *
     * @param failure What happened.
     */
    void failed(AnswerFailure failure);
}
