package org.martenwell.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.martenwell.directory.GatewayMember;
import org.martenwell.hash.RendezvousHash;

/**
 * Who reports to whom. A small fleet is a mesh. In a large one, the gateways of each failure domain
 * report to one of them, the relay, which passes their reports on to the others of its domain and
 * to the relays of the other domains. Nobody elects a relay, and two for a moment do no harm, since
 * reports are whole and replace each other.
 */
final class ReportTopology {

    /** How many gateways a mesh has at most. */
    private static final int MESH_MEMBERS = 16;

    /** How often gateways of a mesh report, in milliseconds. */
    private static final long MESH_MILLIS = 40;

    /** How often gateways report to relays at most, in milliseconds. */
    private static final long RELAYED_MILLIS = 150;

    /** How much each gateway adds to the interval of a very large fleet, in milliseconds. */
    private static final long MILLIS_A_MEMBER = 2;

    /** How many intervals old a report of a mesh is on average. */
    private static final double MESH_AGE = 0.5;

    /**
     * How many intervals old a report is on average that went by relays: half of one at its gateway
     * and at each of two relays.
     */
    private static final double RELAYED_AGE = 1.5;

    /** How long a gateway relays after others last took it for their relay, in milliseconds. */
    private static final long ASKED_MILLIS = 500;

    /** This gateway's name. */
    private final String self;

    /** This gateway's failure domain. */
    private final String domain;

    /** The relays by failure domain. */
    private final Map<String, RelayChoice> relays = new TreeMap<>();

    /** How many gateways the fleet has. */
    private int size;

    /** Until when this gateway relays because others report to it, in milliseconds. */
    private long askedUntil = Long.MIN_VALUE;

    /**
     * Creates a topology of one gateway.
     *
     * @param self Its name.
     * @param domain Its failure domain.
     */
    ReportTopology(String self, String domain) {
        this.self = self;
        this.domain = domain;
        relays.put(domain, new RelayChoice());
    }

    /**
     * Changes the gateways of the fleet.
     *
     * @param members The gateways.
     */
    void members(Collection<GatewayMember> members) {
        size = members.size();
        members.forEach(
                each -> relays.computeIfAbsent(each.failureDomain(), name -> new RelayChoice()));
        relays.forEach((name, choice) -> choice.candidates(sorted(members, name)));
    }

    /**
     * Notes that a gateway was heard as a relay.
     *
     * @param relay Its name.
     * @param now The present time, in milliseconds.
     */
    void heard(String relay, long now) {
        relays.values().forEach(each -> each.heard(relay, now));
    }

    /**
     * Notes that a gateway reported to this one as its relay.
     *
     * @param now The present time, in milliseconds.
     */
    void asked(long now) {
        askedUntil = now + ASKED_MILLIS;
    }

    /**
     * Returns whether reports go by relays.
     *
     * @return {@code true} if the fleet is too large for a mesh.
     */
    boolean relayed() {
        return size > MESH_MEMBERS;
    }

    /**
     * Returns how long it is between two reports.
     *
     * @return The interval in milliseconds.
     */
    long intervalMillis() {
        return relayed() ? Math.max(RELAYED_MILLIS, MILLIS_A_MEMBER * size) : MESH_MILLIS;
    }

    /**
     * Returns how old what is known of peers is on average.
     *
     * @return The age in milliseconds.
     */
    double ageMillis() {
        return intervalMillis() * (relayed() ? RELAYED_AGE : MESH_AGE);
    }

    /**
     * Returns the relay that this gateway reports to.
     *
     * @param now The present time, in milliseconds.
     * @return Its name, which may be this gateway's own.
     */
    String relay(long now) {
        return relays.get(domain).choose(self, now).orElse(self);
    }

    /**
     * Returns whether this gateway passes reports on.
     *
     * @param now The present time, in milliseconds.
     * @return {@code true} if it is its domain's relay or others take it for that.
     */
    boolean relaying(long now) {
        return relayed() && (now < askedUntil || relay(now).equals(self));
    }

    /**
     * Returns the gateways of this one's failure domain.
     *
     * @return Their names without this one's.
     */
    Set<String> neighbours() {
        Set<String> names = new HashSet<>(relays.get(domain).candidates());
        names.remove(self);
        return names;
    }

    /**
     * Returns the relays of the other failure domains.
     *
     * @param now The present time, in milliseconds.
     * @return Their names.
     */
    Set<String> otherRelays(long now) {
        Set<String> names = new HashSet<>();
        relays.forEach(
                (name, choice) -> {
                    if (!name.equals(domain)) {
                        choice.choose(self, now).ifPresent(names::add);
                    }
                });
        return names;
    }

    /**
     * Returns whom this gateway needs a connection to.
     *
     * @param now The present time, in milliseconds.
     * @return Their names.
     */
    Set<String> connected(long now) {
        Set<String> names = new HashSet<>();
        if (!relayed()) {
            relays.values().forEach(each -> names.addAll(each.candidates()));
        } else if (relaying(now)) {
            names.addAll(neighbours());
            names.addAll(otherRelays(now));
        } else {
            names.add(relay(now));
        }
        names.remove(self);
        return names;
    }

    /**
     * Tells whether a gateway is of another failure domain.
     *
     * @param name Its name.
     * @return {@code true} if it is.
     */
    boolean foreign(String name) {
        return !relays.get(domain).candidates().contains(name);
    }

    /**
     * Sorts the gateways of a failure domain by how well they fit as its relay. A relay signs and
     * writes all reports once for each gateway of its domain, so those with the most processor time
     * come first.
     *
     * @param members The gateways.
     * @param of The failure domain.
     * @return Their names, the best first.
     */
    private static List<String> sorted(Collection<GatewayMember> members, String of) {
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
