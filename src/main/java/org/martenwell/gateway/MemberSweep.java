package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds gateways that ended without leaving the directory. Nothing there goes by itself, so one of
 * those that are left removes them; one that was only silent joins again.
 */
final class MemberSweep {

    /** How long a gateway must be silent to be taken for gone, in milliseconds. */
    private static final long GONE_MILLIS = 30_000;

    /** Since when gateways have not been heard, in milliseconds. */
    private final Map<String, Long> silentSince = new HashMap<>();

    /** Creates a sweep that has seen nothing. */
    MemberSweep() {}

    /**
     * Finds gateways to remove. A gateway that hears less than half of the others can't tell
     * whether they are gone or itself is cut off, and finds none.
     *
     * @param peers The other gateways of the directory.
     * @param live Which of them were heard a moment ago.
     * @param now The present time, in milliseconds.
     * @return The names of those that this gateway has to remove.
     */
    List<String> gone(Collection<String> peers, LivePeers live, long now) {
        silentSince.keySet().retainAll(peers);
        long heard = peers.stream().filter(each -> live.live(each, now)).count();
        if (2 * heard < peers.size()) {
            silentSince.clear();
            return List.of();
        }
        List<String> gone = new ArrayList<>();
        for (String each : peers) {
            if (live.live(each, now)) {
                silentSince.remove(each);
            } else if (now - silentSince.computeIfAbsent(each, name -> now) >= GONE_MILLIS
                    && live.looksAfter(each, now)) {
                gone.add(each);
            }
        }
        return gone;
    }
}
