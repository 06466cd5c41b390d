package org.martenwell.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which gateway of a failure domain is its relay: the first candidate that is not suspected. Who is
 * chosen and then not heard for a while is suspected until it is heard again.
 */
final class RelayChoice {

    /** How long a chosen gateway may be silent, in milliseconds. */
    private static final long SILENT_MILLIS = 700;

    /** The candidates in order. */
    private List<String> candidates = List.of();

    /** The gateways that were silent when they were chosen. */
    private final Set<String> suspected = new HashSet<>();

    /** When gateways were last heard as relays, in milliseconds. */
    private final Map<String, Long> heard = new HashMap<>();

    /** The chosen gateway or an empty text. */
    private String chosen = "";

    /** Since when it is chosen, in milliseconds. */
    private long chosenMillis;

    /** Creates a choice among nobody. */
    RelayChoice() {}

    /**
     * Changes the candidates.
     *
     * @param sorted The candidates in order.
     */
    void candidates(List<String> sorted) {
        candidates = List.copyOf(sorted);
        suspected.retainAll(candidates);
        heard.keySet().retainAll(candidates);
    }

    /**
     * Returns the candidates.
     *
     * @return The candidates in order.
     */
    List<String> candidates() {
        return candidates;
    }

    /**
     * Notes that a candidate was heard as a relay.
     *
     * @param relay Its name.
     * @param now The present time, in milliseconds.
     */
    void heard(String relay, long now) {
        if (candidates.contains(relay)) {
            heard.put(relay, now);
            suspected.remove(relay);
        }
    }

    /**
     * Chooses the relay.
     *
     * @param self The name of this gateway, which it never suspects.
     * @param now The present time, in milliseconds.
     * @return The relay or empty if all are suspected.
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
            long wordMillis = Math.max(chosenMillis, heard.getOrDefault(each, chosenMillis));
            if (each.equals(self) || now - wordMillis <= SILENT_MILLIS) {
                return Optional.of(each);
            }
            suspected.add(each);
        }
        return Optional.empty();
    }
}
