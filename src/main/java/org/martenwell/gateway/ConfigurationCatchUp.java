package org.martenwell.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.martenwell.hash.RendezvousHash;

/**
 * Decides when to request a newer configuration, and from which peer. The store usually delivers it
 * first, so requests start after a grace period. One peer is asked at a time, so that a version
 * that all peers report isn't fetched from each of them, and only one that has reported a newer
 * version itself: a gateway that can't reach the store may have a relay that can't either.
 */
final class ConfigurationCatchUp {

    /** The time that the store has to deliver a version that a peer reported, in milliseconds. */
    private static final long STORE_GRACE_MILLIS = 120;

    /** The time that a peer has to respond before another is asked, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 200;

    private final String self;

    /** The last reported versions by peer, of peers whose version was newer than the active one. */
    private final Map<String, Long> newerVersions = new HashMap<>();

    /** The peers that were asked since all had been asked. */
    private final Set<String> asked = new HashSet<>();

    /** The newest version that a peer reported. */
    private long newestReported;

    /**
     * The time at which a version newer than the active one was first reported, in milliseconds.
     */
    private long newerReportedMillis;

    /** The time of the last request without a response, in milliseconds. */
    private long lastRequestMillis = Long.MIN_VALUE / 2;

    /** The peer that was last asked. */
    private String lastAsked = "";

    /**
     * Creates an instance without any reported version.
     *
     * @param self The name of this gateway.
     */
    ConfigurationCatchUp(String self) {
        this.self = self;
    }

    /** {@return the newest version that a peer reported, 0 if none} */
    long newestReported() {
        return newestReported;
    }

    /** {@return the peer that was last asked, empty if none was} */
    String lastAsked() {
        return lastAsked;
    }

    /**
     * Processes the version that a peer reports.
     *
     * @param peer The peer's name.
     * @param peerVersion The version that is active at the peer.
     * @param ownVersion The version that is active here, 0 if there is none.
     * @param now The current time, in milliseconds.
     */
    void reported(String peer, long peerVersion, long ownVersion, long now) {
        newestReported = Math.max(newestReported, peerVersion);
        newerVersions.values().removeIf(version -> version <= ownVersion);
        if (peerVersion <= ownVersion) {
            newerVersions.remove(peer);
            return;
        }
        if (newerVersions.isEmpty()) {
            newerReportedMillis = now;
            asked.clear();
        }
        newerVersions.put(peer, peerVersion);
    }

    /**
     * Returns the peer to request the configuration from, which then counts as asked.
     *
     * @param ownVersion The version that is active here, 0 if there is none.
     * @param connected Tells whether a peer can be asked.
     * @param now The current time, in milliseconds.
     * @return The peer's name, or empty if none is to be asked now.
     */
    Optional<String> nextPeer(long ownVersion, Predicate<String> connected, long now) {
        long grace = ownVersion == 0 ? 0 : STORE_GRACE_MILLIS;
        if (now - newerReportedMillis < grace
                || now - lastRequestMillis < RESPONSE_TIMEOUT_MILLIS) {
            return Optional.empty();
        }
        Optional<String> next =
                newestOf(ownVersion, each -> connected.test(each) && notAsked(each));
        if (next.isEmpty()) {
            asked.clear();
            next = newestOf(ownVersion, connected);
        }
        next.ifPresent(
                peer -> {
                    asked.add(peer);
                    lastAsked = peer;
                    lastRequestMillis = now;
                });
        return next;
    }

    /** Handles a response without a newer configuration: another peer may be asked at once. */
    void declined() {
        newerVersions.remove(lastAsked);
        lastRequestMillis = Long.MIN_VALUE / 2;
    }

    private boolean notAsked(String peer) {
        return !asked.contains(peer);
    }

    /**
     * Returns the peer with the newest version. Among several, each gateway prefers another one, so
     * that one peer doesn't send its configuration to all.
     */
    private Optional<String> newestOf(long ownVersion, Predicate<String> eligible) {
        Comparator<Map.Entry<String, Long>> byVersion = Map.Entry.comparingByValue();
        return newerVersions.entrySet().stream()
                .filter(each -> each.getValue() > ownVersion && eligible.test(each.getKey()))
                .max(byVersion.thenComparingLong(each -> RendezvousHash.score(each.getKey(), self)))
                .map(Map.Entry::getKey);
    }
}
