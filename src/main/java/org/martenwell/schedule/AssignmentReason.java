package org.martenwell.schedule;

import java.util.Locale;

/** Why a request went to its target. */
public enum AssignmentReason {

    /** A slot was lent there and the target likely holds the prompt's prefix. */
    LENT_PREFIX,

    /** A slot was lent there and the target is the least loaded. */
    LENT_LEAST_LOADED,

    /** The keeper granted a slot there and the target likely holds the prompt's prefix. */
    GRANTED_PREFIX,

    /** The keeper granted a slot there. */
    GRANTED;

    /**
     * Returns the word used in logs.
     *
     * @return The constant's name in lower case, with hyphens.
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
