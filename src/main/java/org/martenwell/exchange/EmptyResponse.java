package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;

/**
 * Encoder of complete responses without a body. It writes the same bytes as Netty's encoder, whose
 * pipeline takes several times as long for a response that refuses a request.
 */
final class EmptyResponse {

    /** The first status for which Netty's encoder changes no headers. */
    private static final int FIRST_ERROR_STATUS = 400;

    private static final byte[] VERSION = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] END_OF_LINE = {'\r', '\n'};

    private static final byte[] SEPARATOR = {':', ' '};

    private static final char MAX_BYTE = 255;

    private EmptyResponse() {}

    /**
     * Returns whether responses with a status can be encoded.
     *
     * @param status The status code.
     * @return {@code true} for the statuses of errors.
     */
    static boolean supports(int status) {
        return status >= FIRST_ERROR_STATUS;
    }

    /**
     * Encodes a response.
     *
     * @param statusCode The status code.
     * @param headers All headers, which frame an empty body.
     * @return The encoded bytes; the receiver must recycle them.
     */
    static ByteBuf encode(int statusCode, HttpHeaders headers) {
        HttpResponseStatus status = HttpResponseStatus.valueOf(statusCode);
        String code = status.codeAsText().toString();
        int length =
                VERSION.length
                        + code.length()
                        + 1
                        + status.reasonPhrase().length()
                        + 2 * END_OF_LINE.length;
        Iterator<Map.Entry<CharSequence, CharSequence>> sized = headers.iteratorCharSequence();
        while (sized.hasNext()) {
            Map.Entry<CharSequence, CharSequence> each = sized.next();
            length +=
                    each.getKey().length()
                            + SEPARATOR.length
                            + each.getValue().length()
                            + END_OF_LINE.length;
        }
        ByteBuf bytes = ByteBufPool.allocate(length);
        bytes.put(VERSION);
        put(bytes, code);
        bytes.put((byte) ' ');
        put(bytes, status.reasonPhrase());
        bytes.put(END_OF_LINE);
        Iterator<Map.Entry<CharSequence, CharSequence>> written = headers.iteratorCharSequence();
        while (written.hasNext()) {
            Map.Entry<CharSequence, CharSequence> each = written.next();
            put(bytes, each.getKey());
            bytes.put(SEPARATOR);
            put(bytes, each.getValue());
            bytes.put(END_OF_LINE);
        }
        bytes.put(END_OF_LINE);
        return bytes;
    }

    private static void put(ByteBuf bytes, CharSequence text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            bytes.put((byte) (character > MAX_BYTE ? '?' : character));
        }
    }
}
