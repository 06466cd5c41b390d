package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.DateTimeException;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Parses {@code Retry-After} headers: a number of seconds or an HTTP date (RFC 9110). Fractions of
 * seconds are accepted too.
 */
public final class RetryAfter {

    /**
     * Seconds with an optional fraction; the number of digits is limited so that milliseconds fit a
     * long.
     */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,9})?");

    private static final double SECOND_MILLIS = 1_000;

    private RetryAfter() {}

    /**
     * Returns the delay that a response requests. The longest of several headers applies; one that
     * can't be parsed is ignored.
     *
     * @param headers The response headers.
     * @param nowMillis The current time in milliseconds since the epoch, from which a date counts
     *     if the response has no {@code Date} header.
     * @return The delay in milliseconds; 0 if none is requested.
     */
    public static long millis(HttpHeaders headers, long nowMillis) {
        long longest = 0;
        for (String each : headers.getAll(HttpHeaderNames.RETRY_AFTER)) {
            longest = Math.max(longest, millis(each.strip(), headers, nowMillis));
        }
        return longest;
    }

    /**
     * Parses one header value.
     *
     * @param text The value without surrounding whitespace.
     * @param headers The response headers.
     * @param nowMillis The current time in milliseconds since the epoch.
     * @return The delay in milliseconds; 0 or negative if none is requested.
     */
    private static long millis(String text, HttpHeaders headers, long nowMillis) {
        if (SECONDS.matcher(text).matches()) {
            return Math.round(Double.parseDouble(text) * SECOND_MILLIS);
        }
        long reference = parseDate(headers.get(HttpHeaderNames.DATE, "")).orElse(nowMillis);
        return parseDate(text).map(until -> until - reference).orElse(0L);
    }

    private static Optional<Long> parseDate(String text) {
        try {
            ZonedDateTime date = ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME);
            return Optional.of(date.toInstant().toEpochMilli());
        } catch (DateTimeException exception) {
            return Optional.empty();
        }
    }
}
