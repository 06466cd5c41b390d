package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The weighted service of every organisation, summed over this router's own counters and those that
 * peers reported. Each peer incarnation's counters are merged by maximum.
 */
public final class ServiceCounters {

    /** This router's name. */
    private final String router;

    /** This router's incarnation. */
    private final long incarnation;

    /** The service this router delivered, by organisation. */
    private final Map<String, Double> own = new HashMap<>();

    /** The slots this router has granted as keeper, by organisation. */
    private final Map<String, Integer> ownInUse = new HashMap<>();

    /** The counters of peers, by router and incarnation. */
    private final Map<PeerIncarnation, PeerCounters> peers = new HashMap<>();

    /** The sums over all peers, by organisation. */
    private final Map<String, Double> peerSums = new HashMap<>();

    /** The service added on return from idle, by organisation. */
    private final Map<String, Double> lifts = new HashMap<>();

    /** The organisations whose numbers changed since the last report. */
    private final Set<String> changed = new HashSet<>();

    /** The organisations that were granted slots since the last report. */
    private final Set<String> granted = new HashSet<>();

    /** The greatest service seen as the least among the backlogged. */
    private double level;

    /** The number of the next report. */
    private long sequence;

    /**
     * Creates empty counters.
     *
     * @param router This router's name.
     * @param incarnation This router's incarnation.
     */
    public ServiceCounters(String router, long incarnation) {
        this.router = router;
        this.incarnation = incarnation;
    }

    /**
     * Counts service that this router delivered.
     *
     * @param organisation The organisation served.
     * @param weightedService The service divided by the organisation's weight.
     */
    public void add(String organisation, double weightedService) {
        own.merge(organisation, weightedService, Double::sum);
        changed.add(organisation);
    }

    /**
     * Notes how many slots this router has granted as keeper.
     *
     * @param organisation The organisation.
     * @param difference The change.
     */
    void changeInUse(String organisation, int difference) {
        ownInUse.merge(organisation, difference, Integer::sum);
        changed.add(organisation);
        if (difference > 0) {
            granted.add(organisation);
        }
    }

    /**
     * Returns an organisation's weighted service over the fleet, with its lift.
     *
     * @param organisation The organisation.
     * @return The service in units.
     */
    public double total(String organisation) {
        return own.getOrDefault(organisation, 0.0)
                + peerSums.getOrDefault(organisation, 0.0)
                + lifts.getOrDefault(organisation, 0.0);
    }

    /**
     * Returns an organisation's weighted service over the fleet, without its lift.
     *
     * @param organisation The organisation.
     * @return The service in units.
     */
    public double served(String organisation) {
        return own.getOrDefault(organisation, 0.0) + peerSums.getOrDefault(organisation, 0.0);
    }

    /**
     * Returns the slots granted to an organisation over the fleet.
     *
     * @param organisation The organisation.
     * @return The number of slots.
     */
    public int inUse(String organisation) {
        int sum = ownInUse.getOrDefault(organisation, 0);
        for (PeerCounters peer : peers.values()) {
            sum += peer.inUse(organisation);
        }
        return sum;
    }

    /**
     * Lifts an organisation that returns from idle, so that it cannot cash in the past.
     *
     * @param organisation The organisation.
     */
    void lift(String organisation) {
        double missing = level - total(organisation);
        if (missing > 0) {
            lifts.merge(organisation, missing, Double::sum);
            changed.add(organisation);
        }
    }

    /**
     * Raises the level to which organisations are lifted.
     *
     * @param least The least service among the backlogged.
     */
    void raiseLevel(double least) {
        level = Math.max(level, least);
    }

    /**
     * Takes in a peer's report.
     *
     * @param report The report.
     */
    public void receive(ServiceReport report) {
        PeerIncarnation peer = new PeerIncarnation(report.router(), report.incarnation());
        boolean newest = !hasLater(peer);
        PeerCounters counters = peers.computeIfAbsent(peer, key -> new PeerCounters());
        for (ServiceEntry entry : report.entries()) {
            double growth = counters.receive(entry, report.sequence(), newest);
            peerSums.merge(entry.organisation(), growth, Double::sum);
            lifts.merge(entry.organisation(), entry.lift(), Math::max);
        }
        raiseLevel(report.level());
        if (newest) {
            forgetGaugesBefore(peer);
        }
    }

    /**
     * Forgets the slots that a peer granted as keeper, because it is no longer a member. What it
     * served is kept.
     *
     * @param name The peer's name.
     */
    public void memberLeft(String name) {
        for (Map.Entry<PeerIncarnation, PeerCounters> entry : peers.entrySet()) {
            if (entry.getKey().router().equals(name)) {
                entry.getValue().clearInUse();
            }
        }
    }

    /**
     * Takes the changes since the last call.
     *
     * @return The report, possibly without entries.
     */
    public ServiceReport takeChanges() {
        ServiceReport report = report(changed);
        changed.clear();
        granted.clear();
        return report;
    }

    /**
     * Takes the organisations whose granted slots changed since the last call. Peers are told of
     * these at once, because keepers that do not know of each other's grants all favour the same
     * organisation.
     *
     * @return The report, possibly without entries.
     */
    public ServiceReport takeGrantChanges() {
        ServiceReport report = report(granted);
        changed.removeAll(granted);
        granted.clear();
        return report;
    }

    /**
     * Returns all counters of this router, for a peer that is new.
     *
     * @return The report.
     */
    public ServiceReport everything() {
        Set<String> all = new HashSet<>(own.keySet());
        all.addAll(ownInUse.keySet());
        all.addAll(lifts.keySet());
        return report(all);
    }

    /**
     * Returns what is known of peers, past incarnations included, for a peer that is new.
     *
     * @return One report for each known incarnation.
     */
    public List<ServiceReport> knownOfPeers() {
        List<ServiceReport> reports = new ArrayList<>();
        for (Map.Entry<PeerIncarnation, PeerCounters> entry : peers.entrySet()) {
            PeerIncarnation peer = entry.getKey();
            reports.add(
                    new ServiceReport(
                            peer.router(),
                            peer.incarnation(),
                            entry.getValue().sequence(),
                            level,
                            entry.getValue().entries()));
        }
        return reports;
    }

    /**
     * Returns the organisations that have any service or slot.
     *
     * @return The names.
     */
    public Set<String> organisations() {
        Set<String> names = new HashSet<>(own.keySet());
        names.addAll(peerSums.keySet());
        return names;
    }

    /**
     * Builds a report.
     *
     * @param organisations The organisations to report.
     * @return The report.
     */
    private ServiceReport report(Set<String> organisations) {
        List<ServiceEntry> entries = new ArrayList<>();
        for (String organisation : organisations) {
            entries.add(
                    new ServiceEntry(
                            organisation,
                            own.getOrDefault(organisation, 0.0),
                            lifts.getOrDefault(organisation, 0.0),
                            ownInUse.getOrDefault(organisation, 0)));
        }
        sequence++;
        return new ServiceReport(router, incarnation, sequence, level, entries);
    }

    /**
     * Returns whether a later incarnation of the same router is known.
     *
     * @param peer The incarnation.
     * @return {@code true} if a later one is known.
     */
    private boolean hasLater(PeerIncarnation peer) {
        return peers.keySet().stream().anyMatch(known -> known.isLaterThan(peer));
    }

    /**
     * Forgets the slots granted by earlier incarnations of a router.
     *
     * @param peer The newest incarnation.
     */
    private void forgetGaugesBefore(PeerIncarnation peer) {
        for (Map.Entry<PeerIncarnation, PeerCounters> entry : peers.entrySet()) {
            if (peer.isLaterThan(entry.getKey())) {
                entry.getValue().clearInUse();
            }
        }
    }
}
