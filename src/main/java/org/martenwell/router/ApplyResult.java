package org.martenwell.router;

import java.util.Map;

/**
 * What became of a change of configuration.
 *
 * @param version The version that holds the change.
 * @param state {@code accepted} if every router has it in force, else {@code pending}.
 * @param missing The versions in force at the routers that have not, by name; 0 for one that said
 *     nothing.
 */
public record ApplyResult(long version, String state, Map<String, Long> missing) {

    /** The state when every router has the version in force. */
    public static final String ACCEPTED = "accepted";

    /** The state when some router has not told that it has the version in force. */
    public static final String PENDING = "pending";

    /**
     * Creates a result.
     *
     * @param version The version that holds the change.
     * @param missing The versions in force at the routers that have not, by name.
     * @return The result.
     */
    static ApplyResult of(long version, Map<String, Long> missing) {
        return new ApplyResult(version, missing.isEmpty() ? ACCEPTED : PENDING, missing);
    }
}
