package org.martenwell.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the relay of a failure domain: the first candidate that is not suspected to be down. A
 * candidate that was selected and then sends no reports as a relay is suspected until it does.
 */
final class RelaySelector {

    /** The silence after which a selected candidate is suspected to be down, in milliseconds. */
    private static final long SUSPECT_AFTER_MILLIS = 700;

    /** The candidates, the best first. */
    private List<String> candidates = List.of();

    /** The candidates that are suspected to be down. */
    private final Set<String> suspected = new HashSet<>();

    /** The time at which each candidate last acted as a relay, in milliseconds. */
    private final Map<String, Long> lastRelayedMillis = new HashMap<>();

    /** The selected candidate, empty if there is none. */
    private String chosen = "";

    /** The time at which it was selected, in milliseconds. */
    private long chosenMillis;

    /** Creates a selector without candidates. */
    RelaySelector() {}

    /**
     * Replaces the candidates.
     *
     * @param sorted The candidates, the best first.
     */
    void candidates(List<String> sorted) {
        candidates = List.copyOf(sorted);
        suspected.retainAll(candidates);
        lastRelayedMillis.keySet().retainAll(candidates);
    }

    /** {@return the candidates, the best first} */
    List<String> candidates() {
        return candidates;
    }

    /**
     * Records that a candidate acted as a relay.
     *
     * @param relay The candidate's name.
     * @param now The current time, in milliseconds.
     */
    void recordRelay(String relay, long now) {
        if (candidates.contains(relay)) {
            lastRelayedMillis.put(relay, now);
            suspected.remove(relay);
        }
    }

    /**
     * Selects the relay.
     *
     * @param self The name of this gateway, which is never suspected.
     * @param now The current time, in milliseconds.
     * @return The relay's name, empty if all candidates are suspected.
     */
    Optional<String> choose(String self, long now) {
        for (String each : candidates) {
            if (suspected.contains(each)) {
                continue;
            }
            if (!each.equals(chosen)) {
                chosen = each;
                chosenMillis = now;
            }
            long lastSeenMillis =
                    Math.max(chosenMillis, lastRelayedMillis.getOrDefault(each, chosenMillis));
            if (each.equals(self) || now - lastSeenMillis <= SUSPECT_AFTER_MILLIS) {
                return Optional.of(each);
            }
            suspected.add(each);
        }
        return Optional.empty();
    }
}
