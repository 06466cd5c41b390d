package org.martenwell.schedule;

import java.util.Locale;

/** Reason for assigning a request to its target. */
public enum AssignmentReason {

    /** The target had an idle lent slot and is likely to have cached the prompt's prefix. */
    LENT_PREFIX,

    /** The target had an idle lent slot and was the least loaded. */
    LENT_LEAST_LOADED,

    /**
     * The coordinator granted a slot and the target is likely to have cached the prompt's prefix.
     */
    GRANTED_PREFIX,

    /** The coordinator granted a slot. */
    GRANTED;

    /**
     * Returns the form used in logs.
     *
     * @return The constant's name in lower case, with hyphens.
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
