package org.martenwell.caller;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Map;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Refuses requests whose form is ambiguous or beyond the limits. */
public final class RequestChecker {

    /** The largest headers in all, in bytes. */
    private static final int MAX_HEADER_BYTES = 64 << 10;

    /** The largest body, in bytes. */
    private final int maxBodyBytes;

    /**
     * Creates a checker.
     *
     * @param maxBodyBytes The largest body, in bytes.
     */
    public RequestChecker(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Throws an exception if a request's form is not accepted.
     *
     * @param request The request.
     */
    public void check(HttpRequest request) {
        int bytes = 0;
        int lengths = 0;
        boolean encoded = false;
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : request.getHeaders()) {
            bytes += entry.getKey().toString().length() + entry.getValue().toString().length();
            lengths += entry.getKey().equals(HttpHeaders.CONTENT_LENGTH) ? 1 : 0;
            encoded = encoded || entry.getKey().equals(HttpHeaders.TRANSFER_ENCODING);
        }
        if (lengths > 1 || (lengths == 1 && encoded)) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body's length is stated more than once.");
        }
        if (bytes > MAX_HEADER_BYTES) {
            throw MartenwellException.of(ErrorKind.HEADERS_TOO_LARGE, "The headers are too large.");
        }
        checkLength(request.getHeader(HttpHeaders.CONTENT_LENGTH));
    }

    /**
     * Throws an exception if a stated length is beyond the limit.
     *
     * @param length The stated length or {@code null}.
     */
    private void checkLength(String length) {
        if (length != null && Long.parseLong(length.strip()) > maxBodyBytes) {
            throw MartenwellException.of(ErrorKind.BODY_TOO_LARGE, "The body is too large.");
        }
    }
}
