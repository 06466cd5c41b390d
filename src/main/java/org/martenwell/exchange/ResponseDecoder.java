package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes HTTP responses of a target. The request method is needed because responses to {@code
 * HEAD} have no body even if their headers announce one.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private HttpMethod requestMethod = HttpMethod.GET;

    /** Creates a decoder that assumes {@code GET} until {@link #expect} is called. */
    ResponseDecoder() {
        super(CodecChannels.responseConfig());
    }

    /**
     * Sets the method of the next request, before its response is decoded.
     *
     * @param method The request method.
     */
    void expect(HttpMethod method) {
        requestMethod = method;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return requestMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }
}
