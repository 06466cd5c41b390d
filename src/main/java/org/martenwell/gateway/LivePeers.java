package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.martenwell.hash.RendezvousHash;

/**
 * Tracks the gateways that reported recently and assigns each target to one of them. Delays of the
 * event loop, in which it reads no reports, make no gateway look dead.
 */
final class LivePeers {

    /** The time for which a gateway counts as live after its last report, in milliseconds. */
    private static final long LIVE_MILLIS = 1_500;

    private final String self;

    /** Returns the total delay of the event loop, in milliseconds. */
    private final LongSupplier delay;

    /** The time of the last report by peer without delays of the event loop, in milliseconds. */
    private final Map<String, Long> lastReportMillis = new HashMap<>();

    /**
     * Creates a tracker without live peers.
     *
     * @param self This gateway's name.
     * @param delay Returns the total delay of the event loop so far, in milliseconds.
     */
    LivePeers(String self, LongSupplier delay) {
        this.self = self;
        this.delay = delay;
    }

    /**
     * Records that a peer reported.
     *
     * @param peer The peer's name.
     * @param now The current time, in milliseconds.
     */
    void recordReport(String peer, long now) {
        lastReportMillis.put(peer, withoutDelays(now));
    }

    /**
     * Returns whether a peer reported recently.
     *
     * @param peer The peer's name.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it did.
     */
    boolean isLive(String peer, long now) {
        return lastReportMillis.containsKey(peer)
                && withoutDelays(now) - lastReportMillis.get(peer) <= LIVE_MILLIS;
    }

    /**
     * Returns whether this gateway is the owner of a target or a peer: the live gateway with the
     * highest rendezvous score. While gateways disagree on which of them are live, there may be two
     * owners or none.
     *
     * @param target The id of the target or the name of the peer.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it is.
     */
    boolean owns(String target, long now) {
        long time = withoutDelays(now);
        lastReportMillis.values().removeIf(millis -> time - millis > LIVE_MILLIS);
        long own = RendezvousHash.score(self, target);
        return lastReportMillis.keySet().stream()
                .allMatch(each -> RendezvousHash.score(each, target) <= own);
    }

    private long withoutDelays(long now) {
        return now - delay.getAsLong();
    }
}
