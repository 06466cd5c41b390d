package org.martenwell.exchange;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Separates a close-delimited body from a further response that the target sends behind it on a
 * connection that it doesn't close. What can be the begin of a head is kept back until the head is
 * complete or can't be one.
 */
final class FurtherResponseFilter {

    private static final int MAX_HEAD_BYTES = 8_192;

    /** A head up to the empty line, with possessive quantifiers, so that it is read once. */
    private static final Pattern HEAD =
            Pattern.compile(
                    "HTTP/1\\.[01] ([1-5][0-9]{2})(?: [^\\r\\n]*+)?\\r\\n"
                            + "(?:[!#$%&'*+.^_`|~0-9A-Za-z-]++:[^\\r\\n]*+\\r\\n)*+\\r\\n");

    /** Tells whether a head is one of the target's. */
    private final Predicate<HttpResponse> recognised;

    /** The bytes that are kept back, one character each. */
    private String kept = "";

    private boolean found;

    /**
     * Creates a filter for one body.
     *
     * @param recognised Tells whether a head is one of the target's rather than a part of the body.
     */
    FurtherResponseFilter(Predicate<HttpResponse> recognised) {
        this.recognised = recognised;
    }

    /** {@return {@code true} once the head of a further response was found} */
    boolean found() {
        return found;
    }

    /**
     * Passes on a piece of the body.
     *
     * @param piece The bytes.
     * @return The bytes that are known to belong to the body, those kept back before included.
     */
    byte[] receive(byte[] piece) {
        String text = kept + new String(piece, StandardCharsets.ISO_8859_1);
        int end = endOfBody(text);
        kept = found ? "" : text.substring(end);
        return text.substring(0, end).getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the bytes that are kept back once the connection has ended.
     *
     * @return The rest of the body, empty if there is none.
     */
    byte[] rest() {
        byte[] rest = kept.getBytes(StandardCharsets.ISO_8859_1);
        kept = "";
        return rest;
    }

    private int endOfBody(String text) {
        Matcher head = HEAD.matcher(text);
        for (int start = text.indexOf('H'); start >= 0; start = text.indexOf('H', start + 1)) {
            int limit = Math.min(text.length(), start + MAX_HEAD_BYTES);
            head.region(start, limit);
            if (head.lookingAt()) {
                found = recognised.test(head(Integer.parseInt(head.group(1)), head.group()));
                if (found) {
                    return start;
                }
            } else if (head.hitEnd() && limit == text.length()) {
                return start;
            }
        }
        return text.length();
    }

    private static HttpResponse head(int status, String text) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        text.lines()
                .skip(1)
                .forEach(
                        each -> {
                            int colon = each.indexOf(':');
                            if (colon > 0) {
                                headers.add(
                                        each.substring(0, colon),
                                        each.substring(colon + 1).strip());
                            }
                        });
        return new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
    }
}
