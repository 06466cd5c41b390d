package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** The way in which a response determines the end of its body. */
public enum ResponseFraming {

    /** The response has no body, because of its status or of the request's method. */
    NO_BODY(true),

    /** The head states the length of the body. */
    LENGTH(true),

    /** The body ends with its last chunk. */
    CHUNKED(true),

    /** The body ends where the connection closes, so a truncated one looks complete. */
    CLOSE_DELIMITED(false);

    private static final int NO_CONTENT_STATUS = 204;

    private static final int NOT_MODIFIED_STATUS = 304;

    private final boolean showsTruncation;

    ResponseFraming(boolean showsTruncation) {
        this.showsTruncation = showsTruncation;
    }

    /**
     * Returns the framing of a response.
     *
     * @param method The method of its request.
     * @param head The head of the response.
     * @return The framing.
     */
    public static ResponseFraming of(HttpMethod method, HttpResponse head) {
        int status = head.status().code();
        if (method.equals(HttpMethod.HEAD)
                || status == NO_CONTENT_STATUS
                || status == NOT_MODIFIED_STATUS) {
            return NO_BODY;
        }
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(head) ? LENGTH : CLOSE_DELIMITED;
    }

    /**
     * Returns whether a body with this framing can be decoded.
     *
     * @param head The head of the response.
     * @return {@code false} if the body has a transfer coding other than chunks.
     */
    boolean decodable(HttpResponse head) {
        return this == NO_BODY
                || TransferCodings.supported(
                        head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING));
    }

    /** {@return {@code true} if a recipient can tell a truncated body from a complete one} */
    public boolean showsTruncation() {
        return showsTruncation;
    }

    /** {@return the name in logs and metrics} */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
