package org.martenwell.exchange;

import java.util.OptionalInt;
import java.util.regex.Pattern;

/** Syntax and range of the status codes of HTTP responses, by RFC 9110, section 15. */
public final class StatusCode {

    private static final int MIN_FINAL = 200;

    private static final int MAX = 599;

    private static final Pattern SYNTAX = Pattern.compile("[1-5][0-9]{2}");

    private StatusCode() {}

    /**
     * Parses a status code.
     *
     * @param text The text.
     * @return The code, empty if the text is not three digits or the code is out of range.
     */
    static OptionalInt parse(String text) {
        return SYNTAX.matcher(text).matches()
                ? OptionalInt.of(Integer.parseInt(text))
                : OptionalInt.empty();
    }

    /**
     * Returns whether a number is the status code of a response that is not interim.
     *
     * @param code The number.
     * @return {@code false} if it is out of range or that of an interim response.
     */
    public static boolean isFinal(int code) {
        return code >= MIN_FINAL && code <= MAX;
    }
}
