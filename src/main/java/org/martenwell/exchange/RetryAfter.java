package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.DateTimeException;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads when a server lets its caller come back: in seconds or at a time of day (RFC 9110). */
public final class RetryAfter {

    /** Seconds, with a fraction if any; at most as many digits as milliseconds may have. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,9})?");

    /** How many milliseconds a second has. */
    private static final double SECOND_MILLIS = 1_000;

    /** Not instantiated. */
    private RetryAfter() {}

    /**
     * Reads the headers of an answer. Of several times the longest one holds, and one that can't be
     * read is none.
     *
     * @param headers The headers.
     * @param dayMillis The time of day in milliseconds since 1970, for a date of an answer that
     *     does not tell its own.
     * @return The time to wait in milliseconds, 0 if the server asks for none.
     */
    public static long millis(HttpHeaders headers, long dayMillis) {
        long longest = 0;
        for (String each : headers.getAll(HttpHeaderNames.RETRY_AFTER)) {
            longest = Math.max(longest, millis(each.strip(), headers, dayMillis));
        }
        return longest;
    }

    /**
     * Reads a time.
     *
     * @param text The text.
     * @param headers The headers of its answer.
     * @param dayMillis The time of day in milliseconds since 1970.
     * @return The time to wait in milliseconds, not above 0 if there is none.
     */
    private static long millis(String text, HttpHeaders headers, long dayMillis) {
        if (SECONDS.matcher(text).matches()) {
            return Math.round(Double.parseDouble(text) * SECOND_MILLIS);
        }
        long from = date(headers.get(HttpHeaderNames.DATE, "")).orElse(dayMillis);
        return date(text).map(until -> until - from).orElse(0L);
    }

    /**
     * Reads a date.
     *
     * @param text The text.
     * @return The date in milliseconds since 1970, or empty if the text is none.
     */
    private static Optional<Long> date(String text) {
        try {
            ZonedDateTime date = ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME);
            return Optional.of(date.toInstant().toEpochMilli());
        } catch (DateTimeException exception) {
            return Optional.empty();
        }
    }
}
