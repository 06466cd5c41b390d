package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers of targets and knows that answers to {@code HEAD} have no body. */
final class AnswerDecoder extends HttpResponseDecoder {

    /** The method of the request whose answer is due. */
    private HttpMethod method = HttpMethod.GET;

    /** Creates a decoder. */
    AnswerDecoder() {
        super(CodecChannels.answerConfig());
    }

    /**
     * Tells which answer comes next.
     *
     * @param requested The method of its request.
     */
    void expect(HttpMethod requested) {
        method = requested;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }
}
