package org.martenwell.balance;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The availability of targets by incarnation. It outlives a target's directory entry, which may
 * disappear while the target still serves requests and may reappear with outdated content.
 */
public final class Availabilities {

    /**
     * The largest number of remembered incarnations, about twenty times the targets of the largest
     * fleet.
     */
    private static final int MAX_INCARNATIONS = 2_048;

    /** The availabilities by incarnation, least recently used first. */
    private final Map<String, Availability> byIncarnation = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty collection. */
    public Availabilities() {}

    /**
     * Returns the availability of a target, and creates it at the first call for its incarnation.
     *
     * @param incarnation The target's incarnation, as in {@code DirectoryTarget.incarnation()}.
     * @return The same object for each call, until other incarnations have displaced it.
     */
    public Availability of(String incarnation) {
        Availability availability =
                byIncarnation.computeIfAbsent(incarnation, absent -> new Availability());
        if (byIncarnation.size() > MAX_INCARNATIONS) {
            byIncarnation.remove(byIncarnation.keySet().iterator().next());
        }
        return availability;
    }

    /**
     * Removes the availability of a target that has restarted under the same incarnation.
     *
     * @param incarnation The target's incarnation.
     */
    public void remove(String incarnation) {
        byIncarnation.remove(incarnation);
    }
}
