package org.martenwell.error;

import java.util.Locale;

/** The conditions under which a caller may retry a request after an error. */
public enum Retryability {

    /** A retry of the same request would fail again. */
    NEVER,

    /** A retry may succeed after the delay in the {@code Retry-After} header. */
    LATER,

    /** A retry is safe only if the request is idempotent, since it may have run. */
    IF_REPEATABLE;

    /**
     * {@return the value used in error responses: the constant's name in lower case, with hyphens}
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
