package org.martenwell.error;

import java.util.Locale;

/** Says whether a caller may send a request again after an error. */
public enum Repeat {

    /** The same request would fail again. */
    NEVER,

    /** The same request may succeed after the time given in {@code Retry-After}. */
    LATER,

    /** The request may be sent again only if running it twice does no harm. */
    IF_REPEATABLE;

    /**
     * Returns the word used in answers.
     *
     * @return The constant's name in lower case, with hyphens.
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
