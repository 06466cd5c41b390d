package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpResponse;

/** Is told of the head of each answer that a target sends, whatever it was asked. */
public interface AnswerHeadListener {

    /** A listener for those who need nothing but the answers to their own requests. */
    AnswerHeadListener NONE = head -> {};

    /**
     * Takes the head of an answer, also of one that belongs to no request any more.
     *
     * @param head The head.
     */
    void heard(HttpResponse head);
}
