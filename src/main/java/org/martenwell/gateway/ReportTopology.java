package org.martenwell.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.martenwell.directory.GatewayMember;
import org.martenwell.hash.RendezvousHash;

/**
 * The routes of reports between gateways. A small fleet is a full mesh. In a large one, the
 * gateways of each failure domain report to one of them, the relay, which forwards their reports to
 * the gateways of its domain and to the relays of the other domains. Each gateway selects the
 * relays by itself, without an election. A domain may have two relays for a moment, which is
 * harmless because reports are idempotent. Delays of the event loop, in which it reads no reports,
 * make no relay look down.
 */
final class ReportTopology {

    /** The largest number of gateways that form a mesh. */
    private static final int MAX_MESH_SIZE = 16;

    /** The report interval in a mesh, in milliseconds. */
    private static final long MESH_INTERVAL_MILLIS = 40;

    /** The least report interval with relays, in milliseconds. */
    private static final long MIN_RELAYED_INTERVAL_MILLIS = 150;

    /** The share of each gateway in the report interval of a very large fleet, in milliseconds. */
    private static final long INTERVAL_MILLIS_PER_MEMBER = 2;

    /** The number of gateways that know what the relay of their failure domain knows of it. */
    private static final int STANDBYS = 2;

    /** The mean age of a report in a mesh, in report intervals. */
    private static final double MESH_AGE_INTERVALS = 0.5;

    /**
     * The mean age of a relayed report, in report intervals: it waits half an interval at its
     * gateway and at each of two relays.
     */
    private static final double RELAYED_AGE_INTERVALS = 1.5;

    /**
     * The time for which a gateway acts as a relay after a report was last sent to it as one, in
     * milliseconds.
     */
    private static final long RELAY_ROLE_MILLIS = 500;

    private final String self;

    private final String domain;

    /** Returns the total delay of the event loop, in milliseconds. */
    private final LongSupplier delay;

    /** The selector of the relay of each failure domain. */
    private final Map<String, RelaySelector> relays = new TreeMap<>();

    private int size;

    /**
     * The time until which this gateway acts as a relay because others report to it, in
     * milliseconds.
     */
    private long relayRoleUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the topology of a fleet of one gateway.
     *
     * @param self The gateway's name.
     * @param domain The gateway's failure domain.
     * @param delay Returns the total delay of the event loop so far, in milliseconds.
     */
    ReportTopology(String self, String domain, LongSupplier delay) {
        this.self = self;
        this.domain = domain;
        this.delay = delay;
        relays.put(domain, new RelaySelector());
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param members The gateways, including this one.
     */
    void members(Collection<GatewayMember> members) {
        size = members.size();
        members.forEach(
                each -> relays.computeIfAbsent(each.failureDomain(), name -> new RelaySelector()));
        relays.forEach((name, selector) -> selector.candidates(rankCandidates(members, name)));
    }

    /**
     * Records that a gateway acted as a relay.
     *
     * @param relay The gateway's name.
     * @param now The current time, in milliseconds.
     */
    void recordRelay(String relay, long now) {
        long time = withoutDelays(now);
        relays.values().forEach(each -> each.recordRelay(relay, time));
    }

    /**
     * Records that a gateway sent its report to this one as its relay.
     *
     * @param now The current time, in milliseconds.
     */
    void usedAsRelay(long now) {
        relayRoleUntilMillis = now + RELAY_ROLE_MILLIS;
    }

    /**
     * {@return {@code true} if the fleet is too large for a mesh, so that reports go through
     * relays}
     */
    boolean usesRelays() {
        return size > MAX_MESH_SIZE;
    }

    /** {@return the report interval, in milliseconds} */
    long intervalMillis() {
        return usesRelays()
                ? Math.max(MIN_RELAYED_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_MEMBER * size)
                : MESH_INTERVAL_MILLIS;
    }

    /** {@return the mean age of the peers' reports, in milliseconds} */
    double ageMillis() {
        return intervalMillis() * (usesRelays() ? RELAYED_AGE_INTERVALS : MESH_AGE_INTERVALS);
    }

    /**
     * Returns the relay that this gateway reports to.
     *
     * @param now The current time, in milliseconds.
     * @return The relay's name, which may be this gateway's own.
     */
    String relay(long now) {
        return choose(relays.get(domain), now).orElse(self);
    }

    /**
     * Returns whether this gateway forwards reports.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if it is its domain's relay or other gateways report to it as one.
     */
    boolean isRelay(long now) {
        return usesRelays() && (now < relayRoleUntilMillis || relay(now).equals(self));
    }

    /** {@return the names of the other gateways in this one's failure domain} */
    Set<String> domainPeers() {
        Set<String> names = new HashSet<>(relays.get(domain).candidates());
        names.remove(self);
        return names;
    }

    /**
     * {@return the other gateways of this one's failure domain that are the next to act as its
     * relay}
     */
    List<String> standbys() {
        return relays.get(domain).candidates().stream()
                .filter(each -> !each.equals(self))
                .limit(STANDBYS)
                .toList();
    }

    /**
     * Returns the relays of the other failure domains.
     *
     * @param now The current time, in milliseconds.
     * @return The relays' names.
     */
    Set<String> otherRelays(long now) {
        Set<String> names = new HashSet<>();
        relays.forEach(
                (name, selector) -> {
                    if (!name.equals(domain)) {
                        choose(selector, now).ifPresent(names::add);
                    }
                });
        return names;
    }

    /**
     * Returns the peers that this gateway has to be connected to.
     *
     * @param now The current time, in milliseconds.
     * @return The peers' names.
     */
    Set<String> requiredPeers(long now) {
        Set<String> names = new HashSet<>();
        if (!usesRelays()) {
            relays.values().forEach(each -> names.addAll(each.candidates()));
        } else if (isRelay(now)) {
            names.addAll(domainPeers());
            names.addAll(otherRelays(now));
        } else {
            names.add(relay(now));
        }
        names.remove(self);
        return names;
    }

    /**
     * Returns the peer through which a gateway is reached.
     *
     * @param gateway The gateway's name.
     * @param now The current time, in milliseconds.
     * @return The gateway itself in a mesh or, for a relay, in its failure domain; else a relay.
     */
    String nextHop(String gateway, long now) {
        if (!usesRelays()) {
            return gateway;
        }
        if (!isRelay(now)) {
            return relay(now);
        }
        return relays.values().stream()
                .filter(each -> each.candidates().contains(gateway))
                .filter(each -> each != relays.get(domain))
                .findAny()
                .flatMap(each -> choose(each, now))
                .orElse(gateway);
    }

    private Optional<String> choose(RelaySelector selector, long now) {
        return selector.choose(self, withoutDelays(now));
    }

    private long withoutDelays(long now) {
        return now - delay.getAsLong();
    }

    /**
     * Returns whether a gateway is outside this one's failure domain.
     *
     * @param name The gateway's name.
     * @return {@code true} if it is in another domain or not known.
     */
    boolean inOtherDomain(String name) {
        return !relays.get(domain).candidates().contains(name);
    }

    /**
     * Ranks the gateways of a failure domain as relays, by processors and then by hash. A relay
     * signs and writes all reports once for each gateway of its domain, so the processor is its
     * bottleneck.
     *
     * @param members The gateways of the fleet.
     * @param of The failure domain.
     * @return The names of its gateways, the best first.
     */
    private static List<String> rankCandidates(Collection<GatewayMember> members, String of) {
        Comparator<GatewayMember> byProcessors =
                Comparator.comparingDouble(GatewayMember::processors);
        Comparator<GatewayMember> byScore =
                Comparator.comparingLong(member -> RendezvousHash.score(member.name(), of));
        return members.stream()
                .filter(member -> member.failureDomain().equals(of))
                .sorted(
                        byProcessors
                                .reversed()
                                .thenComparing(byScore.reversed())
                                .thenComparing(GatewayMember::name))
                .map(GatewayMember::name)
                .toList();
    }
}
