package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects gateways that terminated without removing their directory entry, since these entries
 * don't expire. One of the live gateways removes the entry; a gateway that was only unreachable
 * registers again.
 */
final class DeadMemberDetector {

    /** The silence after which a gateway is considered dead, in milliseconds. */
    private static final long DEAD_AFTER_MILLIS = 30_000;

    /** The time since which a gateway is silent, in milliseconds. */
    private final Map<String, Long> silentSince = new HashMap<>();

    /** Creates a detector without any gateway. */
    DeadMemberDetector() {}

    /**
     * Returns the dead gateways that this one has to remove. Returns none if less than half of the
     * peers are live, since this gateway may then be the one that is partitioned.
     *
     * @param peers The other gateways of the directory.
     * @param live The peers that reported recently.
     * @param now The current time, in milliseconds.
     * @return The names of the dead gateways that this one owns.
     */
    List<String> findDead(Collection<String> peers, LivePeers live, long now) {
        silentSince.keySet().retainAll(peers);
        long liveCount = peers.stream().filter(each -> live.isLive(each, now)).count();
        if (2 * liveCount < peers.size()) {
            silentSince.clear();
            return List.of();
        }
        List<String> dead = new ArrayList<>();
        for (String each : peers) {
            if (live.isLive(each, now)) {
                silentSince.remove(each);
            } else if (now - silentSince.computeIfAbsent(each, name -> now) >= DEAD_AFTER_MILLIS
                    && live.owns(each, now)) {
                dead.add(each);
            }
        }
        return dead;
    }
}
