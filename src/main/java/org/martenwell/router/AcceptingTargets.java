package org.martenwell.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which targets take new work, from all signs together: the platform's list, what a target's keeper
 * tells, and the target's own refusals.
 */
final class AcceptingTargets {

    /** How long a target's own refusal counts, in milliseconds. */
    private static final long REFUSAL_MILLIS = 2_000;

    /** The targets that the platform lists as leaving. */
    private final Set<String> leaving = new HashSet<>();

    /** The targets whose keepers told that they take no work. */
    private final Set<String> told = new HashSet<>();

    /** Until when refusals count, by target. */
    private final Map<String, Long> refusedUntil = new HashMap<>();

    /** Creates states in which all targets take work. */
    AcceptingTargets() {}

    /**
     * Takes in the platform's list.
     *
     * @param names The targets listed as leaving.
     */
    void listed(Set<String> names) {
        leaving.clear();
        leaving.addAll(names);
    }

    /**
     * Takes in what a target's keeper told.
     *
     * @param target The target.
     * @param open {@code true} if it takes work.
     */
    void told(String target, boolean open) {
        if (open) {
            told.remove(target);
        } else {
            told.add(target);
        }
    }

    /**
     * Takes in a target's own refusal.
     *
     * @param target The target.
     * @param now The time.
     */
    void refused(String target, long now) {
        refusedUntil.put(target, now + REFUSAL_MILLIS);
    }

    /**
     * Returns whether a target takes new work.
     *
     * @param target The target.
     * @param now The time.
     * @return {@code true} if no sign speaks against it.
     */
    boolean open(String target, long now) {
        return !leaving.contains(target)
                && !told.contains(target)
                && now >= refusedUntil.getOrDefault(target, 0L);
    }
}
