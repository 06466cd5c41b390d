package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Weighted service of every organisation over the fleet: the sum of this router's own counters and
 * those that peers reported. The counters of each peer incarnation are merged by maximum, so
 * reports may be lost, repeated or reordered. Organisations that return from idle are raised to a
 * common level (counter lift).
 */
public final class ServiceCounters {

    private final String router;

    private final long incarnation;

    /** Service delivered by this router, by organisation. */
    private final Map<String, Double> ownService = new HashMap<>();

    /** Slots granted by this router as coordinator and not yet released, by organisation. */
    private final Map<String, Integer> ownInUse = new HashMap<>();

    private final Map<PeerIncarnation, PeerCounters> peers = new HashMap<>();

    /** Service delivered by all peers, by organisation. */
    private final Map<String, Double> peerService = new HashMap<>();

    /** Service credited on return from idle, by organisation. */
    private final Map<String, Double> lifts = new HashMap<>();

    /** Organisations whose counters changed since the last report. */
    private final Set<String> changedOrganisations = new HashSet<>();

    /** Organisations that were granted slots since the last report. */
    private final Set<String> newlyGranted = new HashSet<>();

    /** Highest value so far of the least service among backlogged organisations. */
    private double liftLevel;

    /** Sequence number of the last report. */
    private long sequence;

    /**
     * Creates counters of zero.
     *
     * @param router This router's name.
     * @param incarnation This router's incarnation.
     */
    public ServiceCounters(String router, long incarnation) {
        this.router = router;
        this.incarnation = incarnation;
    }

    /**
     * Adds service that this router delivered.
     *
     * @param organisation The organisation served.
     * @param weightedService The service in units, divided by the organisation's weight.
     */
    public void add(String organisation, double weightedService) {
        ownService.merge(organisation, weightedService, Double::sum);
        changedOrganisations.add(organisation);
    }

    /**
     * Changes the number of slots that this router has granted as coordinator.
     *
     * @param organisation The organisation.
     * @param difference The change, negative for released slots.
     */
    void changeInUse(String organisation, int difference) {
        ownInUse.merge(organisation, difference, Integer::sum);
        changedOrganisations.add(organisation);
        if (difference > 0) {
            newlyGranted.add(organisation);
        }
    }

    /**
     * Returns an organisation's weighted service over the fleet, including its lift.
     *
     * @param organisation The organisation.
     * @return The service in units.
     */
    public double total(String organisation) {
        return ownService.getOrDefault(organisation, 0.0)
                + peerService.getOrDefault(organisation, 0.0)
                + lifts.getOrDefault(organisation, 0.0);
    }

    /**
     * Returns an organisation's weighted service over the fleet, excluding its lift.
     *
     * @param organisation The organisation.
     * @return The service in units.
     */
    public double served(String organisation) {
        return ownService.getOrDefault(organisation, 0.0)
                + peerService.getOrDefault(organisation, 0.0);
    }

    /**
     * Returns the number of slots granted to an organisation over the fleet.
     *
     * @param organisation The organisation.
     * @return The number of slots.
     */
    public int inUse(String organisation) {
        int total = ownInUse.getOrDefault(organisation, 0);
        for (PeerCounters peer : peers.values()) {
            total += peer.inUse(organisation);
        }
        return total;
    }

    /**
     * Raises an organisation that returns from idle to the lift level, so that it gains no priority
     * from the time it was idle.
     *
     * @param organisation The organisation.
     */
    void lift(String organisation) {
        double deficit = liftLevel - total(organisation);
        if (deficit > 0) {
            lifts.merge(organisation, deficit, Double::sum);
            changedOrganisations.add(organisation);
        }
    }

    /**
     * Raises the lift level. Lower values have no effect.
     *
     * @param leastService The least service among the backlogged organisations.
     */
    void raiseLiftLevel(double leastService) {
        liftLevel = Math.max(liftLevel, leastService);
    }

    /**
     * Merges a peer's report.
     *
     * @param report The report.
     */
    public void receive(ServiceReport report) {
        PeerIncarnation peer = new PeerIncarnation(report.router(), report.incarnation());
        boolean newest = !hasLaterIncarnation(peer);
        PeerCounters counters = peers.computeIfAbsent(peer, key -> new PeerCounters());
        for (ServiceEntry entry : report.entries()) {
            double increase = counters.receive(entry, report.sequence(), newest);
            peerService.merge(entry.organisation(), increase, Double::sum);
            lifts.merge(entry.organisation(), entry.lift(), Math::max);
        }
        raiseLiftLevel(report.liftLevel());
        if (newest) {
            clearInUseBefore(peer);
        }
    }

    /**
     * Clears the slots granted by a peer that is no longer a member. The service it delivered is
     * kept.
     *
     * @param name The peer's name.
     */
    public void removeMember(String name) {
        for (Map.Entry<PeerIncarnation, PeerCounters> entry : peers.entrySet()) {
            if (entry.getKey().router().equals(name)) {
                entry.getValue().clearInUse();
            }
        }
    }

    /**
     * Takes the counters that changed since they were last reported.
     *
     * @return The report, possibly without entries.
     */
    public ServiceReport takeChanges() {
        ServiceReport report = buildReport(changedOrganisations);
        changedOrganisations.clear();
        newlyGranted.clear();
        return report;
    }

    /**
     * Takes the counters of organisations that were granted slots since the last report. Peers
     * receive these without delay; otherwise coordinators unaware of each other's grants would all
     * favour the same organisation.
     *
     * @return The report, possibly without entries.
     */
    public ServiceReport takeGrantChanges() {
        ServiceReport report = buildReport(newlyGranted);
        changedOrganisations.removeAll(newlyGranted);
        newlyGranted.clear();
        return report;
    }

    /**
     * Builds a report of all counters of this router, for a peer that has connected.
     *
     * @return The report.
     */
    public ServiceReport completeReport() {
        Set<String> all = new HashSet<>(ownService.keySet());
        all.addAll(ownInUse.keySet());
        all.addAll(lifts.keySet());
        return buildReport(all);
    }

    /**
     * Builds reports of all counters received from peers, including past incarnations, for a peer
     * that has connected.
     *
     * @return One report for each known incarnation.
     */
    public List<ServiceReport> peerReports() {
        List<ServiceReport> reports = new ArrayList<>();
        for (Map.Entry<PeerIncarnation, PeerCounters> entry : peers.entrySet()) {
            PeerIncarnation peer = entry.getKey();
            reports.add(
                    new ServiceReport(
                            peer.router(),
                            peer.incarnation(),
                            entry.getValue().sequence(),
                            liftLevel,
                            entry.getValue().entries()));
        }
        return reports;
    }

    /** {@return the names of the organisations that have received service} */
    public Set<String> organisations() {
        Set<String> names = new HashSet<>(ownService.keySet());
        names.addAll(peerService.keySet());
        return names;
    }

    /**
     * Builds a report with the next sequence number.
     *
     * @param organisations The organisations to report.
     * @return The report.
     */
    private ServiceReport buildReport(Set<String> organisations) {
        List<ServiceEntry> entries = new ArrayList<>();
        for (String organisation : organisations) {
            entries.add(
                    new ServiceEntry(
                            organisation,
                            ownService.getOrDefault(organisation, 0.0),
                            lifts.getOrDefault(organisation, 0.0),
                            ownInUse.getOrDefault(organisation, 0)));
        }
        sequence++;
        return new ServiceReport(router, incarnation, sequence, liftLevel, entries);
    }

    /**
     * Checks whether a later incarnation of the same router is known.
     *
     * @param peer The incarnation.
     * @return {@code true} if a later one is known.
     */
    private boolean hasLaterIncarnation(PeerIncarnation peer) {
        return peers.keySet().stream().anyMatch(other -> other.isLaterThan(peer));
    }

    /**
     * Clears the slots granted by earlier incarnations of a router.
     *
     * @param peer The newest incarnation.
     */
    private void clearInUseBefore(PeerIncarnation peer) {
        for (Map.Entry<PeerIncarnation, PeerCounters> entry : peers.entrySet()) {
            if (peer.isLaterThan(entry.getKey())) {
                entry.getValue().clearInUse();
            }
        }
    }
}
