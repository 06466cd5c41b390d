package org.martenwell.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.martenwell.directory.DirectoryTarget;

/**
 * Targets that peers no longer find in the directory while this gateway's copy of it still lists
 * them. They get no requests until the own directory, read after the notice, decides.
 *
 * <p>Unlike draining, a departure isn't final: the entry of a target that couldn't renew it expires
 * and returns later. If more than half of a service's targets are reported, an outage of the store
 * has expired their entries, and the reports are ignored.
 */
final class ReportedDepartures {

    /** The times of the first notices by incarnation, in milliseconds. */
    private final Map<String, Long> notices = new HashMap<>();

    /** The reported incarnations for which the directory was already read again. */
    private final Set<String> refreshed = new HashSet<>();

    /** The reported incarnations that get no requests. */
    private Set<String> excluded = Set.of();

    /** Creates an instance without departures. */
    ReportedDepartures() {}

    /**
     * Records that a peer no longer finds a target in the directory.
     *
     * @param incarnation The target's incarnation.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it was not reported before.
     */
    boolean add(String incarnation, long now) {
        return notices.putIfAbsent(incarnation, now) == null;
    }

    /**
     * Records that a peer finds a target in the directory again.
     *
     * @param incarnation The target's incarnation.
     */
    void remove(String incarnation) {
        notices.remove(incarnation);
        refreshed.remove(incarnation);
    }

    /**
     * Applies a copy of the directory, which replaces all notices that are older than it.
     *
     * @param incarnations The incarnations that the directory lists.
     * @param asOfMillis The time as of which the copy is current, in milliseconds.
     */
    void apply(Set<String> incarnations, long asOfMillis) {
        notices.values().removeIf(each -> each <= asOfMillis);
        notices.keySet().retainAll(incarnations);
        refreshed.retainAll(notices.keySet());
    }

    /**
     * Determines the excluded targets; called after each change.
     *
     * @param targets All targets of the directory.
     */
    void exclude(Collection<DirectoryTarget> targets) {
        if (notices.isEmpty()) {
            excluded = Set.of();
            return;
        }
        // The number of reported targets of each service, less that of the other ones.
        Map<String, Integer> surplus = new HashMap<>();
        for (DirectoryTarget each : targets) {
            int difference = notices.containsKey(each.incarnation()) ? 1 : -1;
            surplus.merge(each.service(), difference, Integer::sum);
        }
        Set<String> changed = new HashSet<>();
        for (DirectoryTarget each : targets) {
            if (notices.containsKey(each.incarnation()) && surplus.get(each.service()) <= 0) {
                changed.add(each.incarnation());
            }
        }
        excluded = Set.copyOf(changed);
    }

    /**
     * Checks whether a target gets no requests.
     *
     * @param incarnation The target's incarnation.
     * @return {@code true} if it was reported and the directory has not decided yet.
     */
    boolean isExcluded(String incarnation) {
        return excluded.contains(incarnation);
    }

    /**
     * Returns whether the own directory has lagged behind a notice for too long. Each notice counts
     * once.
     *
     * @param now The current time, in milliseconds.
     * @param lagMillis The time that the directory may lag behind peers, in milliseconds.
     * @return {@code true} if the directory should be read again.
     */
    boolean detectStaleDirectory(long now, long lagMillis) {
        boolean stale = false;
        for (Map.Entry<String, Long> each : notices.entrySet()) {
            if (now - each.getValue() >= lagMillis) {
                stale |= refreshed.add(each.getKey());
            }
        }
        return stale;
    }
}
