package org.martenwell.caller;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Map;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Rejects requests whose target or length is ambiguous or whose headers or body exceed the limits.
 */
public final class RequestChecker {

    /** The limit on the total size of all names and values of headers, in bytes. */
    private static final int MAX_HEADER_BYTES = 64 << 10;

    /** The last character of ASCII that is visible. */
    private static final char LAST_VISIBLE = '~';

    private final int maxBodyBytes;

    /**
     * Creates a checker.
     *
     * @param maxBodyBytes The largest accepted body, in bytes.
     */
    public RequestChecker(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Throws an exception if a request is ambiguous or too large. The body is only checked by its
     * Content-Length; a body without one is limited when it is read.
     *
     * @param request The request, whose body needn't have arrived.
     */
    public void check(HttpRequest request) {
        if (request.getPathAndQuery().chars().anyMatch(each -> each > LAST_VISIBLE)) {
            // RFC 9112, section 3.2, allows no such target, and targets read it in several ways.
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The request target is not in ASCII.");
        }
        int headerBytes = 0;
        int contentLengths = 0;
        boolean hasTransferEncoding = false;
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : request.getHeaders()) {
            headerBytes +=
                    entry.getKey().toString().length() + entry.getValue().toString().length();
            contentLengths += entry.getKey().equals(HttpHeaders.CONTENT_LENGTH) ? 1 : 0;
            hasTransferEncoding =
                    hasTransferEncoding || entry.getKey().equals(HttpHeaders.TRANSFER_ENCODING);
        }
        if (contentLengths > 1 || (contentLengths == 1 && hasTransferEncoding)) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST,
                    "The request states the length of its body more than once.");
        }
        if (headerBytes > MAX_HEADER_BYTES) {
            throw MartenwellException.of(ErrorKind.HEADERS_TOO_LARGE, "The headers are too large.");
        }
        checkLength(request.getHeader(HttpHeaders.CONTENT_LENGTH));
    }

    private void checkLength(String length) {
        if (length != null && Long.parseLong(length.strip()) > maxBodyBytes) {
            throw MartenwellException.of(ErrorKind.BODY_TOO_LARGE, "The body is too large.");
        }
    }
}
