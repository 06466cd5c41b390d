package org.martenwell.offload;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.directory.GatewayMember;

/**
 * Chooses the peer that gets an offloaded request, among those that offered processor time.
 *
 * <p>A few peers are used at a time, as each needs a connection. Which ones is random, so that
 * several busy gateways that know the same offers mostly use different peers.
 */
public final class OffloadPeers {

    /** The most peers that are used at a time; each needs a connection. */
    static final int MAX_USED = 4;

    /** The time for which a peer is excluded after a rejection, in milliseconds. */
    static final long REJECTED_MILLIS = 1_000;

    /** The time for which a peer is excluded after a failure, in milliseconds. */
    static final long FAILED_MILLIS = 3_000;

    /**
     * The time after which an unused peer makes room for others, in milliseconds; that for which
     * the connection to an unused peer is kept.
     */
    private static final long UNUSED_MILLIS = 10_000;

    /**
     * The least interval at which a used peer with too little time is replaced, in milliseconds; a
     * few notices, so that its replacement shows in them first.
     */
    private static final long REPLACEMENT_MILLIS = 1_000;

    /**
     * The factor by which the offer of a replacement exceeds the rate that the replaced peer
     * permits, so that peers of similar size aren't exchanged all the time.
     */
    private static final double REPLACEMENT_FACTOR = 2;

    private final String self;

    private final String failureDomain;

    /** The peers that know the messages, by name. Sorted, so that a choice can be repeated. */
    private final Map<String, HelpingPeer> peers = new TreeMap<>();

    /** The peers of this gateway's failure domain. */
    private Set<String> domainPeers = Set.of();

    /** The peers in use. */
    private final Set<String> used = new HashSet<>();

    /** The time at which a replacement was last looked for, in milliseconds. */
    private long replacementMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a chooser without peers.
     *
     * @param self The name of this gateway.
     * @param failureDomain The failure domain of this gateway.
     */
    public OffloadPeers(String self, String failureDomain) {
        this.self = self;
        this.failureDomain = failureDomain;
    }

    /**
     * Updates the gateways of the fleet. Those of earlier builds are never chosen.
     *
     * @param members The gateways; this one is ignored.
     * @param now The current time, in milliseconds.
     */
    public void members(Collection<GatewayMember> members, long now) {
        Map<String, HelpingPeer> former = new HashMap<>(peers);
        Set<String> sameDomain = new HashSet<>();
        peers.clear();
        for (GatewayMember each : members) {
            if (!each.name().equals(self) && each.protocol() >= GatewayMember.OFFLOAD_PROTOCOL) {
                HelpingPeer known = former.get(each.name());
                peers.put(each.name(), known == null ? new HelpingPeer(now) : known);
                if (each.failureDomain().equals(failureDomain)) {
                    sameDomain.add(each.name());
                }
            }
        }
        domainPeers = sameDomain;
        used.retainAll(peers.keySet());
    }

    /**
     * Applies the notice of a peer. One of an unknown gateway is ignored.
     *
     * @param notice The notice.
     * @param now The current time, in milliseconds.
     */
    public void noticed(CapacityNotice notice, long now) {
        HelpingPeer peer = peers.get(notice.gateway());
        if (peer != null) {
            peer.offered(notice.spareMillis(), now);
        }
    }

    /**
     * Chooses the peer for a request and records the request as sent to it.
     *
     * @param random A random number from 0 (inclusive) to 1 (exclusive).
     * @param workMillis The processor time that the request needs at the peer, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return The peer's name, or empty if no peer has processor time for the request.
     */
    public Optional<String> choose(double random, double workMillis, long now) {
        used.removeIf(
                each ->
                        !peers.get(each).offers(now)
                                || now - peers.get(each).usedMillis() > UNUSED_MILLIS);
        Optional<String> chosen =
                inScope(true, random, workMillis, now)
                        .or(() -> inScope(false, random, workMillis, now))
                        .or(() -> replacement(random, workMillis, now));
        chosen.ifPresent(
                each -> {
                    used.add(each);
                    peers.get(each).sent(workMillis, now);
                });
        return chosen;
    }

    /**
     * Records that a peer rejected a request.
     *
     * @param peer The peer's name.
     * @param now The current time, in milliseconds.
     */
    public void rejected(String peer, long now) {
        HelpingPeer known = peers.get(peer);
        if (known != null) {
            if (known.offers(now)) {
                known.reduceShare();
            }
            known.exclude(now + REJECTED_MILLIS);
        }
    }

    /**
     * Records that the connection to a peer failed or that the peer was silent.
     *
     * @param peer The peer's name.
     * @param now The current time, in milliseconds.
     */
    public void failed(String peer, long now) {
        HelpingPeer known = peers.get(peer);
        if (known != null) {
            known.exclude(now + FAILED_MILLIS);
        }
    }

    /**
     * Chooses among the peers of this failure domain or among all others: a peer in use with time
     * left, else another one.
     */
    private Optional<String> inScope(
            boolean sameDomain, double random, double workMillis, long now) {
        List<String> withTime =
                used.stream()
                        .filter(each -> domainPeers.contains(each) == sameDomain)
                        .filter(each -> peers.get(each).hasTimeFor(workMillis, now))
                        .sorted()
                        .toList();
        if (!withTime.isEmpty()) {
            return Optional.of(draw(withTime, random, HelpingPeer::offeredMillis));
        }
        return used.size() < MAX_USED
                ? another(sameDomain, 0, random, workMillis, now)
                : Optional.empty();
    }

    /** Replaces the peer in use that permits the least by one that offers a multiple of it. */
    private Optional<String> replacement(double random, double workMillis, long now) {
        if (used.size() < MAX_USED || now - replacementMillis < REPLACEMENT_MILLIS) {
            return Optional.empty();
        }
        replacementMillis = now;
        String least = least();
        double offeredAbove = REPLACEMENT_FACTOR * peers.get(least).permittedRate();
        Optional<String> better =
                another(true, offeredAbove, random, workMillis, now)
                        .or(() -> another(false, offeredAbove, random, workMillis, now));
        better.ifPresent(each -> used.remove(least));
        return better;
    }

    private String least() {
        return used.stream()
                .min(
                        (one, other) ->
                                Double.compare(
                                        peers.get(one).permittedRate(),
                                        peers.get(other).permittedRate()))
                .orElseThrow();
    }

    /** Draws a peer that isn't in use. Large offers are preferred, since few peers are used. */
    private Optional<String> another(
            boolean sameDomain, double offeredAbove, double random, double workMillis, long now) {
        Stream<String> candidates =
                sameDomain
                        ? domainPeers.stream()
                        : peers.keySet().stream().filter(each -> !domainPeers.contains(each));
        List<String> others =
                candidates
                        .filter(each -> !used.contains(each))
                        .filter(each -> peers.get(each).offeredMillis() > offeredAbove)
                        .filter(each -> peers.get(each).hasTimeFor(workMillis, now))
                        .sorted()
                        .toList();
        return others.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        draw(others, random, peer -> peer.offeredMillis() * peer.offeredMillis()));
    }

    /** Draws a peer with a probability in proportion to its weight. */
    private String draw(List<String> names, double random, ToDoubleFunction<HelpingPeer> weight) {
        double total =
                names.stream().mapToDouble(each -> weight.applyAsDouble(peers.get(each))).sum();
        double rest = random * total;
        for (String each : names) {
            rest -= weight.applyAsDouble(peers.get(each));
            if (rest < 0) {
                return each;
            }
        }
        return names.get(names.size() - 1);
    }
}
