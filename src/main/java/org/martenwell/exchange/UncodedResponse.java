package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Responses without a body that are written without a codec, which may have failed or not exist.
 * All but the interim one close the connection.
 */
final class UncodedResponse {

    private static final long TENTH_MILLIS = 100;

    private static final long TENTHS = 10;

    private static final String UNAVAILABLE = "503 Service Unavailable";

    private UncodedResponse() {}

    /** {@return the interim response to a request with {@code Expect: 100-continue}} */
    static ByteBuf interim() {
        return encode("HTTP/1.1 100 Continue\r\n\r\n");
    }

    /** {@return the response to a request that was lost before it was processed} */
    static ByteBuf refusal() {
        return closing(UNAVAILABLE);
    }

    /**
     * Returns the response to a request that is refused for some time.
     *
     * @param delayMillis The time after which the caller may retry, in milliseconds; it is rounded
     *     up to tenths of a second.
     * @return The response.
     */
    static ByteBuf refusal(long delayMillis) {
        long tenths = (delayMillis + TENTH_MILLIS - 1) / TENTH_MILLIS;
        return closing(UNAVAILABLE + "\r\nretry-after: " + tenths / TENTHS + "." + tenths % TENTHS);
    }

    /**
     * {@return the response on a connection of which no request is processed since there are too
     * many}
     */
    static ByteBuf unreadRefusal() {
        return refusal(TENTH_MILLIS);
    }

    /** {@return the response to a request whose processing failed} */
    static ByteBuf failure() {
        return closing("500 Internal Server Error");
    }

    private static ByteBuf closing(String status) {
        return encode("HTTP/1.1 " + status + "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    }

    private static ByteBuf encode(String head) {
        return ByteBuf.wrapForReading(head.getBytes(StandardCharsets.US_ASCII));
    }
}
