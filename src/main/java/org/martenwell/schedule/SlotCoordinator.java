package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.martenwell.configuration.Target;

/**
 * Allocates the slots of the targets that this router coordinates. While requests wait, each free
 * slot goes to the backlogged organisation with the lowest rank; while none wait, free slots are
 * lent to routers ahead of demand.
 */
public final class SlotCoordinator {

    private final String name;

    private final long incarnation;

    private final SchedulingParameters parameters;

    /** Service received and slots in use, by organisation, over the fleet. */
    private final ServiceCounters counters;

    private final GrantListener listener;

    /** Coordinated targets by name. */
    private final Map<String, CoordinatedTarget> targets = new TreeMap<>();

    /** Queues that routers reported. */
    private final DemandTable demands = new DemandTable();

    /** Sequence number of the last report applied, by router incarnation. */
    private final Map<PeerIncarnation, Long> lastSequences = new HashMap<>();

    private final Map<String, Long> latestIncarnations = new HashMap<>();

    /** Granted slots that the router has not acknowledged yet, by router and slot class. */
    private final Map<String, Map<String, Integer>> unacknowledged = new HashMap<>();

    /** Time of the last report of waiting requests, by organisation. */
    private final Map<String, Long> lastBacklogged = new HashMap<>();

    /**
     * Routers to ask for a complete report because this router became the coordinator of a target.
     */
    private final Set<String> resyncRequired = new HashSet<>();

    /** Grants to send with the next call of {@link #allocate(long)}, by router. */
    private final Map<String, Map<SlotClassKey, SlotGrant>> outgoing = new LinkedHashMap<>();

    private OrganisationTerms terms = EqualTerms.INSTANCE;

    /** Most recent term. A term begins whenever this router becomes the coordinator of a target. */
    private long lastTerm;

    /** Names of all member routers, including this one. */
    private Set<String> members = Set.of();

    /**
     * Creates a coordinator without targets.
     *
     * @param name This router's name.
     * @param incarnation This router's incarnation.
     * @param parameters The scheduling parameters.
     * @param counters The service counters, shared with the rest of this router.
     * @param listener Notified of each slot granted to an organisation.
     */
    public SlotCoordinator(
            String name,
            long incarnation,
            SchedulingParameters parameters,
            ServiceCounters counters,
            GrantListener listener) {
        this.name = name;
        this.incarnation = incarnation;
        this.parameters = parameters;
        this.counters = counters;
        this.listener = listener;
    }

    /**
     * Sets the contract terms that apply from the next decision on.
     *
     * @param changed The weights and concurrency limits of organisations.
     */
    public void setTerms(OrganisationTerms changed) {
        terms = changed;
    }

    /**
     * Sets the targets that this router coordinates and the member routers. State of removed
     * targets and routers is discarded; new targets start without known allocations.
     *
     * @param coordinated The targets that this router coordinates.
     * @param routers The names of all member routers, including this one.
     * @param now The current time in milliseconds.
     */
    public void assign(Collection<Target> coordinated, Set<String> routers, long now) {
        Set<String> names = new HashSet<>();
        for (Target target : coordinated) {
            names.add(target.name());
            CoordinatedTarget known = targets.get(target.name());
            if (known == null) {
                targets.put(
                        target.name(),
                        new CoordinatedTarget(
                                target,
                                beginTerm(),
                                now + parameters.initialReportTimeoutMillis()));
                resyncRequired.addAll(routers);
            } else {
                known.reconfigure(target);
            }
        }
        for (String target : List.copyOf(targets.keySet())) {
            if (!names.contains(target)) {
                removeTarget(target);
            }
        }
        for (String router : members) {
            if (!routers.contains(router)) {
                removeRouter(router);
            }
        }
        members = Set.copyOf(routers);
    }

    /**
     * Starts a new term, so that totals of an earlier term are not mistaken for current ones.
     *
     * @return The number of the new term.
     */
    private long beginTerm() {
        lastTerm++;
        return lastTerm;
    }

    /**
     * Sets whether a target accepts new requests. Has no effect on targets that this router does
     * not coordinate.
     *
     * @param target The target's name.
     * @param accepting {@code false} if the target is draining or unavailable.
     */
    public void setAcceptsRequests(String target, boolean accepting) {
        CoordinatedTarget coordinated = targets.get(target);
        if (coordinated != null) {
            coordinated.setAcceptsRequests(accepting);
        }
    }

    /**
     * Applies a router's report. Reports of non-members, outdated incarnations and outdated
     * sequence numbers are ignored.
     *
     * @param report The report.
     * @param now The current time in milliseconds.
     */
    public void receive(SlotReport report, long now) {
        PeerIncarnation router = new PeerIncarnation(report.router(), report.incarnation());
        if (!members.contains(report.router()) || !isNewer(router, report.sequence())) {
            return;
        }
        lastSequences.put(router, report.sequence());
        if (report.complete()) {
            demands.removeRouter(report.router());
        }
        for (Demand demand : report.demands()) {
            updateBacklog(demand, now);
            demands.receive(report.router(), demand, now);
        }
        if (report.coordinatorIncarnation() == incarnation) {
            applyHoldings(report, now);
        }
    }

    /**
     * Allocates the free slots of all coordinated targets.
     *
     * @param now The current time in milliseconds.
     * @return The messages to send, by router name; routers without changes are absent.
     */
    public Map<String, SlotGrants> allocate(long now) {
        for (CoordinatedTarget coordinated : targets.values()) {
            allocate(coordinated, now);
        }
        Map<String, SlotGrants> messages = new LinkedHashMap<>();
        for (String router : resyncRequired) {
            messages.put(router, buildMessage(router, true));
        }
        for (String router : outgoing.keySet()) {
            messages.computeIfAbsent(router, key -> buildMessage(key, false));
        }
        resyncRequired.clear();
        outgoing.clear();
        return messages;
    }

    /**
     * Builds a message with the pending grants of a router.
     *
     * @param router The router's name.
     * @param completeReportRequested {@code true} to request a complete report.
     * @return The message.
     */
    private SlotGrants buildMessage(String router, boolean completeReportRequested) {
        List<SlotGrant> grants = List.copyOf(outgoing.getOrDefault(router, Map.of()).values());
        long routerIncarnation = latestIncarnations.getOrDefault(router, 0L);
        return new SlotGrants(
                name, incarnation, routerIncarnation, completeReportRequested, grants);
    }

    /**
     * Queues unacknowledged grants to be resent and halves the recent use of routers. Called
     * periodically.
     *
     * @param now The current time in milliseconds.
     */
    public void maintain(long now) {
        for (CoordinatedTarget coordinated : targets.values()) {
            for (Map.Entry<String, RouterAllocation> entry : coordinated.allocations().entrySet()) {
                entry.getValue().decayRecentUse();
                resend(coordinated, entry.getKey(), entry.getValue(), now);
            }
        }
    }

    /**
     * Returns the number of slots of a target that are in use, lent or granted.
     *
     * @param target The target's name.
     * @return The number of slots, or empty if this router does not coordinate the target.
     */
    public Optional<Integer> taken(String target) {
        return Optional.ofNullable(targets.get(target)).map(CoordinatedTarget::taken);
    }

    /** {@return the names of the targets that this router coordinates} */
    public Set<String> coordinatedTargets() {
        return Set.copyOf(targets.keySet());
    }

    /** {@return the names of the organisations with requests that wait for a coordinated target} */
    public Set<String> backlogged() {
        return Set.copyOf(demands.organisations());
    }

    /**
     * Checks that a report is newer than those already applied. A new incarnation discards the
     * state of the previous one.
     *
     * @param router The router's incarnation.
     * @param sequence The report's sequence number.
     * @return {@code true} if the report has to be applied.
     */
    private boolean isNewer(PeerIncarnation router, long sequence) {
        long newest = latestIncarnations.getOrDefault(router.router(), Long.MIN_VALUE);
        if (router.incarnation() < newest) {
            return false;
        }
        if (router.incarnation() > newest) {
            removeRouter(router.router());
            latestIncarnations.put(router.router(), router.incarnation());
        }
        return sequence > lastSequences.getOrDefault(router, 0L);
    }

    /**
     * Records that an organisation is backlogged, and raises its counter if it was idle for longer
     * than the grace period.
     *
     * @param demand The reported queue.
     * @param now The current time in milliseconds.
     */
    private void updateBacklog(Demand demand, long now) {
        String organisation = demand.organisation();
        if (demand.waiting() == 0) {
            return;
        }
        boolean isBacklogged = demands.organisations().contains(organisation);
        long idleMillis = now - lastBacklogged.getOrDefault(organisation, Long.MIN_VALUE / 2);
        if (!isBacklogged && idleMillis > parameters.idleGraceMillis()) {
            counters.lift(organisation);
        }
        lastBacklogged.put(organisation, now);
    }

    /**
     * Applies the failures and slot totals of a report. A target with new failures goes into
     * backoff, even if other requests succeeded there.
     *
     * @param report The report.
     * @param now The current time in milliseconds.
     */
    private void applyHoldings(SlotReport report, long now) {
        if (report.complete()) {
            for (CoordinatedTarget coordinated : targets.values()) {
                clearUnlisted(coordinated, report);
            }
        }
        Set<String> failed = new HashSet<>();
        for (FailureCount failure : report.failures()) {
            CoordinatedTarget coordinated = targets.get(failure.target());
            if (coordinated != null
                    && coordinated
                            .allocation(report.router(), report.incarnation())
                            .receiveFailures(failure.total())) {
                failed.add(failure.target());
                coordinated.recordFailure(now);
            }
        }
        for (Holding holding : report.holdings()) {
            CoordinatedTarget coordinated = targets.get(holding.target());
            if (coordinated != null) {
                int releasedSlots = applyHolding(coordinated, report, holding);
                if (releasedSlots > 0 && !failed.contains(holding.target())) {
                    coordinated.recordSuccess(now);
                }
            }
        }
    }

    /**
     * Clears the slot classes of a target that a complete report does not list.
     *
     * @param coordinated The target.
     * @param report The complete report.
     */
    private void clearUnlisted(CoordinatedTarget coordinated, SlotReport report) {
        RouterAllocation allocation = coordinated.allocation(report.router(), report.incarnation());
        String target = coordinated.target().name();
        Set<String> listed = new HashSet<>();
        for (Holding holding : report.holdings()) {
            if (holding.target().equals(target)) {
                listed.add(holding.slotClass());
            }
        }
        for (String slotClass : List.copyOf(allocation.classes().keySet())) {
            if (!listed.contains(slotClass)) {
                Holding idle =
                        allocation.totals(slotClass).idle(target, coordinated.term(), slotClass);
                applyHolding(coordinated, report, idle);
            }
        }
        allocation.markReported();
    }

    /**
     * Applies the totals of one slot class. Totals of another term are ignored, except that running
     * requests count as carried over.
     *
     * @param coordinated The target.
     * @param report The report.
     * @param reported The reported totals.
     * @return The number of slots released.
     */
    private int applyHolding(CoordinatedTarget coordinated, SlotReport report, Holding reported) {
        Holding holding = reported.term() == coordinated.term() ? reported : reported.carriedOver();
        RouterAllocation allocation = coordinated.allocation(report.router(), report.incarnation());
        GrantTotals totals = allocation.totals(holding.slotClass());
        int unacknowledgedBefore = totals.unacknowledged();
        int takenBefore = allocation.taken(holding.slotClass());
        int releasedSlots = allocation.receive(holding);
        addUnacknowledged(
                report.router(),
                holding.slotClass(),
                totals.unacknowledged() - unacknowledgedBefore);
        changeInUse(holding.slotClass(), allocation.taken(holding.slotClass()) - takenBefore);
        return releasedSlots;
    }

    /**
     * Allocates the free slots of one target, unless the slots that earlier coordinators granted
     * are still unknown.
     *
     * @param coordinated The target.
     * @param now The current time in milliseconds.
     */
    private void allocate(CoordinatedTarget coordinated, long now) {
        int offered = coordinated.offered(now);
        boolean full = offered > 0 && coordinated.taken() >= offered + parameters.overcommitSlots();
        boolean nothingToDo = full && coordinated.lent() == 0;
        if (nothingToDo || !coordinated.allocationsKnown(members, now)) {
            return;
        }
        List<QueueKey> contenders = contenders(coordinated);
        if (offered == 0 || !contenders.isEmpty()) {
            recallLent(coordinated);
        }
        int overcommit =
                contenders.isEmpty() || coordinated.isRecovering()
                        ? 0
                        : parameters.overcommitSlots();
        int free = offered == 0 ? 0 : offered + overcommit - coordinated.taken();
        while (free > 0 && !contenders.isEmpty()) {
            String organisation = grantLeastServed(coordinated, contenders, now).organisation();
            contenders.removeIf(
                    key -> key.organisation().equals(organisation) && !isContender(key));
            free--;
        }
        if (contenders.isEmpty() && !coordinated.isRecovering()) {
            lend(coordinated, offered - coordinated.taken(), now);
        }
    }

    /**
     * Returns the queues of a target's pools that may receive a slot.
     *
     * @param coordinated The target.
     * @return The queues.
     */
    private List<QueueKey> contenders(CoordinatedTarget coordinated) {
        List<QueueKey> contenders = new ArrayList<>();
        for (QueueKey key : demands.backlogged(coordinated.target().pools())) {
            if (isContender(key)) {
                contenders.add(key);
            }
        }
        return contenders;
    }

    /**
     * Checks that a queue has a request without a grant and that its organisation is below its
     * concurrency limit.
     *
     * @param key The queue.
     * @return {@code true} if the queue may receive a slot.
     */
    private boolean isContender(QueueKey key) {
        String organisation = key.organisation();
        return counters.inUse(organisation) < terms.maxConcurrent(organisation)
                && demands.mostUrgent(key, this::unacknowledged).isPresent();
    }

    /**
     * Grants a slot to the organisation with the lowest rank.
     *
     * @param coordinated The target.
     * @param contenders The queues to choose from, not empty.
     * @param now The current time in milliseconds.
     * @return The queue that received the slot.
     */
    private QueueKey grantLeastServed(
            CoordinatedTarget coordinated, List<QueueKey> contenders, long now) {
        QueueKey chosen = null;
        double leastRank = Double.POSITIVE_INFINITY;
        double leastService = Double.POSITIVE_INFINITY;
        for (QueueKey key : contenders) {
            double rank = rank(key.organisation());
            leastService = Math.min(leastService, counters.total(key.organisation()));
            if (rank < leastRank) {
                leastRank = rank;
                chosen = key;
            }
        }
        counters.raiseLiftLevel(leastService);
        String router = demands.mostUrgent(chosen, this::unacknowledged).orElseThrow();
        grant(coordinated, router, chosen.organisation(), now);
        listener.granted(
                new GrantDecision(
                        coordinated.target().name(),
                        chosen.organisation(),
                        router,
                        leastRank,
                        contenders.size()));
        return chosen;
    }

    /**
     * Computes an organisation's rank: the weighted service received plus the service expected from
     * its slots in use within the horizon.
     *
     * @param organisation The organisation.
     * @return The rank in service units; the lowest is served first.
     */
    private double rank(String organisation) {
        double expectedService =
                counters.inUse(organisation)
                        * parameters.slotRate()
                        * parameters.horizonMillis()
                        / 1000.0;
        return counters.total(organisation) + expectedService / terms.weight(organisation);
    }

    /**
     * Grants one slot to a router.
     *
     * @param coordinated The target.
     * @param router The router's name.
     * @param slotClass The organisation or {@link SlotClass#ANY}.
     * @param now The current time in milliseconds.
     */
    private void grant(CoordinatedTarget coordinated, String router, String slotClass, long now) {
        RouterAllocation allocation =
                coordinated.allocation(router, latestIncarnations.getOrDefault(router, 0L));
        GrantTotals totals = allocation.totals(slotClass);
        allocation.grant(totals);
        totals.recordSent(now);
        addUnacknowledged(router, slotClass, 1);
        changeInUse(slotClass, 1);
        addToMessage(coordinated, router, slotClass, totals, false);
    }

    /**
     * Lends free slots to routers that have reported.
     *
     * @param coordinated The target.
     * @param free The number of free slots.
     * @param now The current time in milliseconds.
     */
    private void lend(CoordinatedTarget coordinated, int free, long now) {
        Map<String, Long> routers = new TreeMap<>(latestIncarnations);
        routers.keySet().retainAll(members);
        for (int slot = 0; slot < free; slot++) {
            Optional<String> router = LendingPolicy.furthestBelowShare(coordinated, routers);
            if (router.isEmpty()) {
                return;
            }
            grant(coordinated, router.get(), SlotClass.ANY, now);
        }
    }

    /**
     * Asks routers to release the lent slots that they do not use.
     *
     * @param coordinated The target.
     */
    private void recallLent(CoordinatedTarget coordinated) {
        for (Map.Entry<String, RouterAllocation> entry : coordinated.allocations().entrySet()) {
            GrantTotals totals = entry.getValue().totals(SlotClass.ANY);
            if (totals.outstanding() > 0 && totals.recall()) {
                addToMessage(coordinated, entry.getKey(), SlotClass.ANY, totals, true);
            }
        }
    }

    /**
     * Resends grants and recalls that a router has not acknowledged within the resend interval.
     *
     * @param coordinated The target.
     * @param router The router's name.
     * @param allocation The router's slots at the target.
     * @param now The current time in milliseconds.
     */
    private void resend(
            CoordinatedTarget coordinated, String router, RouterAllocation allocation, long now) {
        for (Map.Entry<String, GrantTotals> entry : allocation.classes().entrySet()) {
            GrantTotals totals = entry.getValue();
            boolean stale = now - totals.sentAt() >= parameters.resendMillis();
            boolean lost =
                    totals.unacknowledged() > 0 || (totals.recalled() && totals.outstanding() > 0);
            if (stale && lost) {
                totals.recordSent(now);
                addToMessage(coordinated, router, entry.getKey(), totals, totals.recalled());
            }
        }
    }

    /**
     * Adds the total of a slot class to the next message to a router, replacing an earlier total.
     *
     * @param coordinated The target.
     * @param router The router's name.
     * @param slotClass The slot class.
     * @param totals The totals of the class.
     * @param recalled {@code true} if the router has to release unused slots.
     */
    private void addToMessage(
            CoordinatedTarget coordinated,
            String router,
            String slotClass,
            GrantTotals totals,
            boolean recalled) {
        String target = coordinated.target().name();
        outgoing.computeIfAbsent(router, key -> new LinkedHashMap<>())
                .put(
                        new SlotClassKey(target, slotClass),
                        new SlotGrant(
                                target, coordinated.term(), slotClass, totals.granted(), recalled));
    }

    private int unacknowledged(String router, String organisation) {
        return unacknowledged.getOrDefault(router, Map.of()).getOrDefault(organisation, 0);
    }

    private void addUnacknowledged(String router, String slotClass, int change) {
        if (change != 0) {
            unacknowledged
                    .computeIfAbsent(router, key -> new HashMap<>())
                    .merge(slotClass, change, Integer::sum);
        }
    }

    /**
     * Changes the number of slots in use by an organisation. Lent slots belong to no organisation
     * and are not counted.
     */
    private void changeInUse(String slotClass, int change) {
        if (change != 0 && !slotClass.equals(SlotClass.ANY)) {
            counters.changeInUse(slotClass, change);
        }
    }

    /** Discards a target that this router no longer coordinates. */
    private void removeTarget(String target) {
        CoordinatedTarget coordinated = targets.remove(target);
        for (String router : List.copyOf(coordinated.allocations().keySet())) {
            removeAllocation(coordinated, router);
        }
    }

    /** Discards the state of a router that left or restarted. */
    private void removeRouter(String router) {
        demands.removeRouter(router);
        for (CoordinatedTarget coordinated : targets.values()) {
            removeAllocation(coordinated, router);
        }
        latestIncarnations.remove(router);
        unacknowledged.remove(router);
        outgoing.remove(router);
    }

    /** Discards a router's slots at a target and the counts derived from them. */
    private void removeAllocation(CoordinatedTarget coordinated, String router) {
        RouterAllocation allocation = coordinated.allocations().get(router);
        if (allocation == null) {
            return;
        }
        for (Map.Entry<String, GrantTotals> entry : allocation.classes().entrySet()) {
            changeInUse(entry.getKey(), -allocation.taken(entry.getKey()));
            addUnacknowledged(router, entry.getKey(), -entry.getValue().unacknowledged());
        }
        coordinated.removeAllocation(router);
    }
}
