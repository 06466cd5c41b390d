package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.hash.RendezvousHash;

/** Which gateways were heard from a moment ago, and which of them looks after a target. */
final class LivePeers {

    /** How long a gateway counts as live after its last word, in milliseconds. */
    private static final long LIVE_MILLIS = 1_500;

    /** This gateway's name. */
    private final String self;

    /** When peers were last heard, in milliseconds. */
    private final Map<String, Long> heard = new HashMap<>();

    /**
     * Creates a set of peers of which none was heard.
     *
     * @param self This gateway's name.
     */
    LivePeers(String self) {
        this.self = self;
    }

    /**
     * Notes that a peer was heard.
     *
     * @param peer The peer's name.
     * @param now The present time, in milliseconds.
     */
    void heard(String peer, long now) {
        heard.put(peer, now);
    }

    /**
     * Tells whether a peer was heard a moment ago.
     *
     * @param peer The peer's name.
     * @param now The present time, in milliseconds.
     * @return {@code true} if it was.
     */
    boolean live(String peer, long now) {
        return heard.containsKey(peer) && now - heard.get(peer) <= LIVE_MILLIS;
    }

    /**
     * Tells whether this gateway looks after a target: the first live one by hash does. For moments
     * two may, or none.
     *
     * @param target The target's id.
     * @param now The present time, in milliseconds.
     * @return {@code true} if this one does.
     */
    boolean looksAfter(String target, long now) {
        heard.values().removeIf(millis -> now - millis > LIVE_MILLIS);
        long own = RendezvousHash.score(self, target);
        return heard.keySet().stream().allMatch(each -> RendezvousHash.score(each, target) <= own);
    }
}
