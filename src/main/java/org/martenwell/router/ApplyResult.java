package org.martenwell.router;

import java.util.Map;

/**
 * Result of a configuration change.
 *
 * @param version The version that contains the change.
 * @param state {@link #ACCEPTED} or {@link #PENDING}.
 * @param missing The last known active version of each router that has not activated the change, by
 *     router name; 0 if the router has reported none.
 */
public record ApplyResult(long version, String state, Map<String, Long> missing) {

    /** State of a change that every router has activated. */
    public static final String ACCEPTED = "accepted";

    /** State of a change that at least one router has not reported as active. */
    public static final String PENDING = "pending";

    /**
     * Creates a result; its state follows from {@code missing}.
     *
     * @param version The version that contains the change.
     * @param missing The last known active version of each router that has not activated the
     *     change, by router name.
     * @return The result.
     */
    static ApplyResult of(long version, Map<String, Long> missing) {
        return new ApplyResult(version, missing.isEmpty() ? ACCEPTED : PENDING, missing);
    }
}
