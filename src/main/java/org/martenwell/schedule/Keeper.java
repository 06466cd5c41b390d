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
 * Hands out the slots of the targets that one router keeps. While work waits, each free slot goes
 * to the backlogged organisation of the least rank; while none waits, free slots are lent to
 * routers.
 */
public final class Keeper {

    /** This router's name. */
    private final String name;

    /** This router's incarnation. */
    private final long incarnation;

    /** The numbers that tune scheduling. */
    private final SchedulingParameters parameters;

    /** The service of all organisations. */
    private final ServiceCounters counters;

    /** Is told of grants. */
    private final GrantListener listener;

    /** The targets kept, by name. */
    private final Map<String, KeptTarget> targets = new TreeMap<>();

    /** What waits at routers. */
    private final DemandTable demands = new DemandTable();

    /** The last report's number by router incarnation. */
    private final Map<PeerIncarnation, Long> sequences = new HashMap<>();

    /** The newest incarnation by router. */
    private final Map<String, Long> incarnations = new HashMap<>();

    /** The grants under way, by router and organisation. */
    private final Map<String, Map<String, Integer>> unseen = new HashMap<>();

    /** When organisations last had requests waiting. */
    private final Map<String, Long> lastBacklogged = new HashMap<>();

    /** The routers to ask for complete reports, because a target is newly kept. */
    private final Set<String> asked = new HashSet<>();

    /** What changed since the last decision, by router. */
    private final Map<String, Map<GrantKey, SlotGrant>> outgoing = new LinkedHashMap<>();

    /** The terms of contracts. */
    private OrganisationTerms contracts = EqualTerms.INSTANCE;

    /** How often this keeper has begun to keep a target. */
    private long terms;

    /** The routers that are members, this one included. */
    private Set<String> members = Set.of();

    /**
     * Creates a keeper without targets.
     *
     * @param name This router's name.
     * @param incarnation This router's incarnation.
     * @param parameters The numbers that tune scheduling.
     * @param counters The service of all organisations.
     * @param listener Is told of grants.
     */
    public Keeper(
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
     * Changes the terms of contracts.
     *
     * @param changed The terms.
     */
    public void terms(OrganisationTerms changed) {
        contracts = changed;
    }

    /**
     * Changes which targets this router keeps and which routers are members.
     *
     * @param kept The targets to keep.
     * @param routers The names of all members, this one included.
     * @param now The time.
     */
    public void assign(Collection<Target> kept, Set<String> routers, long now) {
        Set<String> names = new HashSet<>();
        for (Target target : kept) {
            names.add(target.name());
            KeptTarget known = targets.get(target.name());
            if (known == null) {
                targets.put(
                        target.name(),
                        new KeptTarget(target, nextTerm(), now + parameters.settleMillis()));
                asked.addAll(routers);
            } else {
                known.reconfigure(target);
            }
        }
        for (String target : List.copyOf(targets.keySet())) {
            if (!names.contains(target)) {
                forgetTarget(target);
            }
        }
        for (String router : members) {
            if (!routers.contains(router)) {
                forgetRouter(router);
            }
        }
        members = Set.copyOf(routers);
    }

    /**
     * Begins a term.
     *
     * @return The term's number.
     */
    private long nextTerm() {
        terms++;
        return terms;
    }

    /**
     * Says whether a target takes new work.
     *
     * @param target The target's name.
     * @param takesWork {@code false} if it is leaving or away.
     */
    public void open(String target, boolean takesWork) {
        KeptTarget kept = targets.get(target);
        if (kept != null) {
            kept.open(takesWork);
        }
    }

    /**
     * Takes in a router's report.
     *
     * @param report The report.
     * @param now The time.
     */
    public void receive(SlotReport report, long now) {
        PeerIncarnation router = new PeerIncarnation(report.router(), report.incarnation());
        if (!members.contains(report.router()) || !isNews(router, report.sequence())) {
            return;
        }
        sequences.put(router, report.sequence());
        if (report.complete()) {
            demands.drop(report.router());
        }
        for (Demand demand : report.demands()) {
            noteBacklog(demand, now);
            demands.receive(report.router(), demand, now);
        }
        if (report.keeperIncarnation() == incarnation) {
            receiveHoldings(report, now);
        }
    }

    /**
     * Decides about the free slots of all kept targets.
     *
     * @param now The time.
     * @return What to tell each router, by router.
     */
    public Map<String, SlotGrants> decide(long now) {
        for (KeptTarget kept : targets.values()) {
            decide(kept, now);
        }
        Map<String, SlotGrants> messages = new LinkedHashMap<>();
        for (String router : asked) {
            messages.put(router, message(router, true));
        }
        for (String router : outgoing.keySet()) {
            messages.computeIfAbsent(router, key -> message(key, false));
        }
        asked.clear();
        outgoing.clear();
        return messages;
    }

    /**
     * Builds the message to a router from what changed.
     *
     * @param router The router.
     * @param completeWanted {@code true} if the router is to report everything.
     * @return The message.
     */
    private SlotGrants message(String router, boolean completeWanted) {
        List<SlotGrant> grants = List.copyOf(outgoing.getOrDefault(router, Map.of()).values());
        long routerIncarnation = incarnations.getOrDefault(router, 0L);
        return new SlotGrants(name, incarnation, routerIncarnation, completeWanted, grants);
    }

    /**
     * Repeats grants that were not seen. To be called now and then.
     *
     * @param now The time.
     */
    public void maintain(long now) {
        for (KeptTarget kept : targets.values()) {
            for (Map.Entry<String, RouterShare> entry : kept.shares().entrySet()) {
                entry.getValue().decayRecentUse();
                resend(kept, entry.getKey(), entry.getValue(), now);
            }
        }
    }

    /**
     * Returns how many slots of a kept target are taken, grants under way included.
     *
     * @param target The target's name.
     * @return The number of slots or empty if this router does not keep the target.
     */
    public Optional<Integer> taken(String target) {
        return Optional.ofNullable(targets.get(target)).map(KeptTarget::taken);
    }

    /**
     * Returns the names of the targets kept.
     *
     * @return The names.
     */
    public Set<String> keptTargets() {
        return Set.copyOf(targets.keySet());
    }

    /**
     * Returns the organisations that have requests waiting for targets kept here.
     *
     * @return The names.
     */
    public Set<String> backlogged() {
        return Set.copyOf(demands.organisations());
    }

    /**
     * Returns whether a report is later than those before it.
     *
     * @param router The router's incarnation.
     * @param sequence The report's number.
     * @return {@code true} if it is.
     */
    private boolean isNews(PeerIncarnation router, long sequence) {
        long newest = incarnations.getOrDefault(router.router(), Long.MIN_VALUE);
        if (router.incarnation() < newest) {
            return false;
        }
        if (router.incarnation() > newest) {
            forgetRouter(router.router());
            incarnations.put(router.router(), router.incarnation());
        }
        return sequence > sequences.getOrDefault(router, 0L);
    }

    /**
     * Lifts an organisation that returns from idle.
     *
     * @param demand What a router told.
     * @param now The time.
     */
    private void noteBacklog(Demand demand, long now) {
        String organisation = demand.organisation();
        if (demand.waiting() == 0) {
            return;
        }
        boolean waits = demands.organisations().contains(organisation);
        long since = now - lastBacklogged.getOrDefault(organisation, Long.MIN_VALUE / 2);
        if (!waits && since > parameters.idleGraceMillis()) {
            counters.lift(organisation);
        }
        lastBacklogged.put(organisation, now);
    }

    /**
     * Takes in what a router told of its slots.
     *
     * @param report The report.
     * @param now The time.
     */
    private void receiveHoldings(SlotReport report, long now) {
        if (report.complete()) {
            for (KeptTarget kept : targets.values()) {
                forgetUnlisted(kept, report);
            }
        }
        Set<String> failed = new HashSet<>();
        for (FailureCount failure : report.failures()) {
            KeptTarget kept = targets.get(failure.target());
            if (kept != null
                    && kept.share(report.router(), report.incarnation())
                            .receiveFailures(failure.total())) {
                failed.add(failure.target());
                kept.noteFailure(now);
            }
        }
        for (Holding holding : report.holdings()) {
            KeptTarget kept = targets.get(holding.target());
            if (kept != null) {
                int back = receiveHolding(kept, report, holding);
                if (back > 0 && !failed.contains(holding.target())) {
                    kept.noteSuccess(now);
                }
            }
        }
    }

    /**
     * Notes that nothing runs in the classes that a complete report does not list.
     *
     * @param kept The target.
     * @param report The complete report.
     */
    private void forgetUnlisted(KeptTarget kept, SlotReport report) {
        RouterShare share = kept.share(report.router(), report.incarnation());
        String target = kept.target().name();
        Set<String> listed = new HashSet<>();
        for (Holding holding : report.holdings()) {
            if (holding.target().equals(target)) {
                listed.add(holding.slotClass());
            }
        }
        for (String slotClass : List.copyOf(share.classes().keySet())) {
            if (!listed.contains(slotClass)) {
                Holding idle = share.totals(slotClass).idle(target, kept.term(), slotClass);
                receiveHolding(kept, report, idle);
            }
        }
        share.becomeKnown();
    }

    /**
     * Takes in what a router told of one class of slots.
     *
     * @param kept The target.
     * @param report The report.
     * @param told What the router told.
     * @return How many slots came back.
     */
    private int receiveHolding(KeptTarget kept, SlotReport report, Holding told) {
        Holding holding = told.term() == kept.term() ? told : told.carriedOver();
        RouterShare share = kept.share(report.router(), report.incarnation());
        ClassTotals totals = share.totals(holding.slotClass());
        int unseenBefore = totals.unseen();
        int takenBefore = share.taken(holding.slotClass());
        int back = share.receive(holding);
        addUnseen(report.router(), holding.slotClass(), totals.unseen() - unseenBefore);
        changeInUse(holding.slotClass(), share.taken(holding.slotClass()) - takenBefore);
        return back;
    }

    /**
     * Decides about the free slots of one target.
     *
     * @param kept The target.
     * @param now The time.
     */
    private void decide(KeptTarget kept, long now) {
        int offered = kept.offered(now);
        boolean full = offered > 0 && kept.taken() >= offered + parameters.grantsAhead();
        boolean nothingToDo = full && kept.lent() == 0;
        if (nothingToDo || !kept.settled(members, now)) {
            return;
        }
        List<QueueKey> contenders = contenders(kept);
        if (offered == 0 || !contenders.isEmpty()) {
            recallLent(kept);
        }
        int ahead = contenders.isEmpty() || kept.onTrial() ? 0 : parameters.grantsAhead();
        int free = offered == 0 ? 0 : offered + ahead - kept.taken();
        while (free > 0 && !contenders.isEmpty()) {
            String organisation = grantLeastServed(kept, contenders, now).organisation();
            contenders.removeIf(key -> key.organisation().equals(organisation) && !contends(key));
            free--;
        }
        if (contenders.isEmpty() && !kept.onTrial()) {
            lend(kept, offered - kept.taken(), now);
        }
    }

    /**
     * Returns the queues that a target may serve and for which no grant is under way yet.
     *
     * @param kept The target.
     * @return The queues.
     */
    private List<QueueKey> contenders(KeptTarget kept) {
        List<QueueKey> contenders = new ArrayList<>();
        for (QueueKey key : demands.backlogged(kept.target().pools())) {
            if (contends(key)) {
                contenders.add(key);
            }
        }
        return contenders;
    }

    /**
     * Returns whether a queue has a request for which no grant is under way, within its ceiling.
     *
     * @param key The queue.
     * @return {@code true} if it has.
     */
    private boolean contends(QueueKey key) {
        String organisation = key.organisation();
        return counters.inUse(organisation) < contracts.maxConcurrent(organisation)
                && demands.mostUrgent(key, this::unseen).isPresent();
    }

    /**
     * Grants a slot to the organisation of the least rank.
     *
     * @param kept The target.
     * @param contenders The queues to choose from.
     * @param now The time.
     * @return The queue that was granted the slot.
     */
    private QueueKey grantLeastServed(KeptTarget kept, List<QueueKey> contenders, long now) {
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
        counters.raiseLevel(leastService);
        String router = demands.mostUrgent(chosen, this::unseen).orElseThrow();
        grant(kept, router, chosen.organisation(), now);
        listener.granted(
                new GrantDecision(
                        kept.target().name(),
                        chosen.organisation(),
                        router,
                        leastRank,
                        contenders.size()));
        return chosen;
    }

    /**
     * Ranks an organisation by the service it has had and will soon have from slots in use.
     *
     * @param organisation The organisation.
     * @return The weighted service in units; the least comes first.
     */
    private double rank(String organisation) {
        double soon =
                counters.inUse(organisation)
                        * parameters.slotRate()
                        * parameters.horizonMillis()
                        / 1000.0;
        return counters.total(organisation) + soon / contracts.weight(organisation);
    }

    /**
     * Grants one slot.
     *
     * @param kept The target.
     * @param router The router.
     * @param slotClass The organisation or {@link SlotClass#ANY}.
     * @param now The time.
     */
    private void grant(KeptTarget kept, String router, String slotClass, long now) {
        RouterShare share = kept.share(router, incarnations.getOrDefault(router, 0L));
        ClassTotals totals = share.totals(slotClass);
        share.grant(totals);
        totals.sent(now);
        addUnseen(router, slotClass, 1);
        changeInUse(slotClass, 1);
        tell(kept, router, slotClass, totals, false);
    }

    /**
     * Lends free slots to the routers that reported.
     *
     * @param kept The target.
     * @param free The number of free slots.
     * @param now The time.
     */
    private void lend(KeptTarget kept, int free, long now) {
        Map<String, Long> routers = new TreeMap<>(incarnations);
        routers.keySet().retainAll(members);
        for (int slot = 0; slot < free; slot++) {
            Optional<String> router = Lending.neediest(kept, routers);
            if (router.isEmpty()) {
                return;
            }
            grant(kept, router.get(), SlotClass.ANY, now);
        }
    }

    /**
     * Recalls the lent slots that routers do not use.
     *
     * @param kept The target.
     */
    private void recallLent(KeptTarget kept) {
        for (Map.Entry<String, RouterShare> entry : kept.shares().entrySet()) {
            ClassTotals totals = entry.getValue().totals(SlotClass.ANY);
            if (totals.outstanding() > 0 && totals.recall()) {
                tell(kept, entry.getKey(), SlotClass.ANY, totals, true);
            }
        }
    }

    /**
     * Repeats grants that a router has not seen for long.
     *
     * @param kept The target.
     * @param router The router.
     * @param share The router's account.
     * @param now The time.
     */
    private void resend(KeptTarget kept, String router, RouterShare share, long now) {
        for (Map.Entry<String, ClassTotals> entry : share.classes().entrySet()) {
            ClassTotals totals = entry.getValue();
            boolean stale = now - totals.sentAt() >= parameters.resendMillis();
            boolean lost = totals.unseen() > 0 || (totals.recalled() && totals.outstanding() > 0);
            if (stale && lost) {
                totals.sent(now);
                tell(kept, router, entry.getKey(), totals, totals.recalled());
            }
        }
    }

    /**
     * Adds a total to the next message to a router.
     *
     * @param kept The target.
     * @param router The router.
     * @param slotClass The class.
     * @param totals The totals.
     * @param recalled {@code true} if unused slots are to come back.
     */
    private void tell(
            KeptTarget kept,
            String router,
            String slotClass,
            ClassTotals totals,
            boolean recalled) {
        String target = kept.target().name();
        outgoing.computeIfAbsent(router, key -> new LinkedHashMap<>())
                .put(
                        new GrantKey(target, slotClass),
                        new SlotGrant(target, kept.term(), slotClass, totals.granted(), recalled));
    }

    /**
     * Counts the slots under way to a router for an organisation.
     *
     * @param router The router.
     * @param organisation The organisation.
     * @return The number of slots.
     */
    private int unseen(String router, String organisation) {
        return unseen.getOrDefault(router, Map.of()).getOrDefault(organisation, 0);
    }

    /**
     * Changes the count of slots under way.
     *
     * @param router The router.
     * @param slotClass The class.
     * @param change The change.
     */
    private void addUnseen(String router, String slotClass, int change) {
        if (change != 0) {
            unseen.computeIfAbsent(router, key -> new HashMap<>())
                    .merge(slotClass, change, Integer::sum);
        }
    }

    /**
     * Changes the count of slots in use.
     *
     * @param slotClass The class.
     * @param change The change.
     */
    private void changeInUse(String slotClass, int change) {
        if (change != 0 && !slotClass.equals(SlotClass.ANY)) {
            counters.changeInUse(slotClass, change);
        }
    }

    /**
     * Forgets a target that another router keeps now.
     *
     * @param target The target's name.
     */
    private void forgetTarget(String target) {
        KeptTarget kept = targets.remove(target);
        for (String router : List.copyOf(kept.shares().keySet())) {
            forgetShare(kept, router);
        }
    }

    /**
     * Forgets a router that left or restarted.
     *
     * @param router The router.
     */
    private void forgetRouter(String router) {
        demands.drop(router);
        for (KeptTarget kept : targets.values()) {
            forgetShare(kept, router);
        }
        incarnations.remove(router);
        unseen.remove(router);
        outgoing.remove(router);
    }

    /**
     * Forgets a router's slots at a target.
     *
     * @param kept The target.
     * @param router The router.
     */
    private void forgetShare(KeptTarget kept, String router) {
        RouterShare share = kept.shares().get(router);
        if (share == null) {
            return;
        }
        for (Map.Entry<String, ClassTotals> entry : share.classes().entrySet()) {
            changeInUse(entry.getKey(), -share.taken(entry.getKey()));
            addUnseen(router, entry.getKey(), -entry.getValue().unseen());
        }
        kept.drop(router);
    }
}
