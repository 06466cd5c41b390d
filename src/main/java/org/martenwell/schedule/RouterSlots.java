package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Target;

/**
 * A router's waiting requests and the slots that keepers granted or lent to it. It matches the two
 * and tells keepers what changed.
 */
public final class RouterSlots implements TargetLoads {

    /** This router's name. */
    private final String name;

    /** This router's incarnation. */
    private final long incarnation;

    /** The numbers that tune scheduling. */
    private final SchedulingParameters parameters;

    /** Chooses among targets. */
    private final TargetChooser chooser;

    /** The queues. */
    private final Map<QueueKey, WaitingQueue> queues = new LinkedHashMap<>();

    /** The slots by target and keeper. */
    private final Map<String, HeldShare> shares = new TreeMap<>();

    /** The requests that run now, by target and organisation. */
    private final Map<GrantKey, Integer> running = new HashMap<>();

    /** The requests that run now, by target. */
    private final Map<String, Integer> runningAt = new HashMap<>();

    /** The failed requests since the start, by target. */
    private final Map<String, Long> failures = new TreeMap<>();

    /** What the keepers were told. */
    private final Map<KeeperReference, KeeperLink> links = new LinkedHashMap<>();

    /** The targets that take no new work. */
    private final Set<String> closed = new HashSet<>();

    /** The keeper of each target. */
    private Map<String, KeeperReference> keepers = Map.of();

    /** The targets of each pool. */
    private Map<Pool, List<Target>> pools = Map.of();

    /**
     * The number of the last report, to whichever keeper, so that it grows whoever keeps a target.
     */
    private long sequence;

    /** The number of requests that wait. */
    private int waiting;

    /**
     * Creates a router's slots.
     *
     * @param name This router's name.
     * @param incarnation This router's incarnation.
     * @param parameters The numbers that tune scheduling.
     * @param chooser Chooses among targets.
     */
    public RouterSlots(
            String name, long incarnation, SchedulingParameters parameters, TargetChooser chooser) {
        this.name = name;
        this.incarnation = incarnation;
        this.parameters = parameters;
        this.chooser = chooser;
    }

    /**
     * Changes the targets and their keepers. Requests that run go on in their slots; slots of
     * earlier keepers that are idle are dropped.
     *
     * @param targets All targets.
     * @param assignment The keeper of each target, by target.
     */
    public void assign(List<Target> targets, Map<String, KeeperReference> assignment) {
        keepers = Map.copyOf(assignment);
        Map<Pool, List<Target>> changed = new HashMap<>();
        Map<String, HeldShare> kept = new TreeMap<>();
        for (Target target : targets) {
            for (Pool pool : target.pools()) {
                changed.computeIfAbsent(pool, key -> new ArrayList<>()).add(target);
            }
            KeeperReference keeper = keepers.get(target.name());
            HeldShare share = shares.get(target.name());
            if (keeper != null) {
                boolean same = share != null && share.keeper().equals(keeper);
                kept.put(target.name(), same ? share : new HeldShare(target, keeper));
            }
        }
        shares.clear();
        shares.putAll(kept);
        pools = changed;
        links.keySet().retainAll(keepers.values());
        for (KeeperReference keeper : keepers.values()) {
            links.computeIfAbsent(keeper, key -> new KeeperLink()).requireComplete();
        }
    }

    /**
     * Makes the next report to a keeper complete, because earlier ones may have been lost.
     *
     * @param keeper The keeper's name.
     */
    public void connectionLost(String keeper) {
        for (Map.Entry<KeeperReference, KeeperLink> entry : links.entrySet()) {
            if (entry.getKey().name().equals(keeper)) {
                entry.getValue().requireComplete();
            }
        }
    }

    /**
     * Says whether a target takes new work. Idle slots of one that does not go back.
     *
     * @param target The target's name.
     * @param takesWork {@code false} if it is leaving or away.
     */
    public void open(String target, boolean takesWork) {
        if (takesWork) {
            closed.remove(target);
            return;
        }
        closed.add(target);
        HeldShare share = shares.get(target);
        if (share != null) {
            releaseIdle(share);
        }
    }

    /**
     * Takes a slot that is lent, if one is idle and nobody waits for the same pool.
     *
     * @param request The request.
     * @return The assignment or empty if the request has to wait.
     */
    public Optional<Assignment> takeLent(WaitingRequest request) {
        List<Target> pool = pools.getOrDefault(request.pool(), List.of());
        List<Target> usable = pool.stream().filter(this::hasIdleLent).toList();
        return chooser.choose(request, pool, usable, this)
                .map(
                        target -> {
                            boolean prefix = chooser.prefers(request, pool, target);
                            AssignmentReason reason =
                                    prefix
                                            ? AssignmentReason.LENT_PREFIX
                                            : AssignmentReason.LENT_LEAST_LOADED;
                            return use(request, shares.get(target.name()), SlotClass.ANY, reason);
                        });
    }

    /**
     * Adds a request to its queue.
     *
     * @param request The request.
     */
    public void enqueue(WaitingRequest request) {
        QueueKey key = new QueueKey(request.pool(), request.organisation());
        queues.computeIfAbsent(key, any -> new WaitingQueue()).add(request);
        waiting++;
        queueChanged(key);
    }

    /**
     * Removes a request from its queue.
     *
     * @param request The request.
     * @return {@code true} if it was still waiting.
     */
    public boolean withdraw(WaitingRequest request) {
        QueueKey key = new QueueKey(request.pool(), request.organisation());
        WaitingQueue queue = queues.get(key);
        boolean removed = queue != null && queue.remove(request);
        if (removed) {
            waiting--;
            removeIfEmpty(key, queue);
            queueChanged(key);
        }
        return removed;
    }

    /**
     * Takes in a keeper's grants and matches them with waiting requests. Granted slots that no
     * request can use go back at once.
     *
     * @param grants The grants.
     * @return The requests that got slots.
     */
    public List<Assignment> receive(SlotGrants grants) {
        List<Assignment> assignments = new ArrayList<>();
        KeeperReference keeper = new KeeperReference(grants.keeper(), grants.incarnation());
        if (grants.completeWanted() && links.containsKey(keeper)) {
            links.get(keeper).requireComplete();
        }
        if (grants.routerIncarnation() != incarnation) {
            return assignments;
        }
        for (SlotGrant grant : grants.grants()) {
            HeldShare share = shares.get(grant.target());
            if (share != null && share.keeper().equals(keeper)) {
                receive(share, grant, assignments);
            }
        }
        return assignments;
    }

    /**
     * Ends the use of a slot and gives it back.
     *
     * @param slot The slot.
     * @param failed {@code true} if the target failed.
     */
    public void finish(Slot slot, boolean failed) {
        if (!slot.finish()) {
            return;
        }
        HeldShare share = slot.share();
        String target = slot.target().name();
        GrantKey use = new GrantKey(target, slot.organisation());
        running.merge(use, -1, Integer::sum);
        runningAt.merge(target, -1, Integer::sum);
        share.finish(slot);
        if (failed) {
            failures.merge(target, 1L, Long::sum);
        }
        KeeperLink link = links.get(keepers.get(target));
        if (link != null) {
            link.slotChanged(use);
            link.slotChanged(new GrantKey(target, slot.slotClass()));
            if (failed) {
                link.failuresChanged(target);
            }
        }
    }

    /**
     * Returns what keepers have to be told now.
     *
     * @param now The time.
     * @return The reports by keeper; keepers with no news are left out.
     */
    public Map<KeeperReference, SlotReport> takeReports(long now) {
        Map<KeeperReference, SlotReport> reports = new LinkedHashMap<>();
        for (Map.Entry<KeeperReference, KeeperLink> entry : links.entrySet()) {
            KeeperReference keeper = entry.getKey();
            KeeperLink link = entry.getValue();
            if (link.completeDue(now, parameters.refreshMillis())) {
                reports.put(keeper, completeReport(keeper, link, now));
            } else {
                changeReport(keeper, link, now).ifPresent(report -> reports.put(keeper, report));
            }
        }
        return reports;
    }

    /**
     * Returns how many requests wait at this router.
     *
     * @return The number of requests.
     */
    public int waiting() {
        return waiting;
    }

    /**
     * Returns how many requests of an organisation wait for a pool at this router.
     *
     * @param pool The pool.
     * @param organisation The organisation.
     * @return The number of requests.
     */
    public int waiting(Pool pool, String organisation) {
        WaitingQueue queue = queues.get(new QueueKey(pool, organisation));
        return queue == null ? 0 : queue.size();
    }

    /**
     * Returns how many requests of this router run.
     *
     * @return The number of requests.
     */
    public int running() {
        return runningAt.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Returns how many requests of an organisation run at this router.
     *
     * @param organisation The organisation.
     * @return The number of requests.
     */
    public int running(String organisation) {
        return running.entrySet().stream()
                .filter(entry -> entry.getKey().slotClass().equals(organisation))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    @Override
    public double load(Target target) {
        return runningAt.getOrDefault(target.name(), 0) / (double) target.slots();
    }

    /**
     * Gives back all idle slots at a target.
     *
     * @param share The account.
     */
    private void releaseIdle(HeldShare share) {
        for (Map.Entry<String, HeldTotals> entry : share.classes().entrySet()) {
            if (entry.getValue().releaseIdle() > 0) {
                slotChanged(share, entry.getKey());
            }
        }
    }

    /**
     * Takes in one total and matches its slots.
     *
     * @param share The account.
     * @param grant The total.
     * @param assignments Receives the requests that got slots.
     */
    private void receive(HeldShare share, SlotGrant grant, List<Assignment> assignments) {
        if (grant.term() > share.term()) {
            share.restart(grant.term());
        }
        if (grant.term() < share.term()) {
            return;
        }
        HeldTotals totals = share.totals(grant.slotClass());
        int fresh = totals.receive(grant.total());
        if (closed.contains(grant.target())) {
            totals.releaseIdle();
        } else if (grant.slotClass().equals(SlotClass.ANY)) {
            share.recalled(grant.recalled());
            matchLent(share, totals, assignments);
        } else {
            matchGranted(share, grant.slotClass(), totals, assignments);
        }
        if (fresh > 0 || grant.recalled()) {
            slotChanged(share, grant.slotClass());
        }
    }

    /**
     * Matches lent slots with waiting requests, and gives the rest back if they are recalled.
     *
     * @param share The account.
     * @param totals The totals of lent slots.
     * @param assignments Receives the requests that got slots.
     */
    private void matchLent(HeldShare share, HeldTotals totals, List<Assignment> assignments) {
        if (share.recalled()) {
            totals.releaseIdle();
            return;
        }
        for (QueueKey key : List.copyOf(queues.keySet())) {
            boolean served = share.target().serves(key.pool());
            while (served && totals.idle() > 0 && queues.containsKey(key)) {
                assignments.add(assign(key, share, SlotClass.ANY));
            }
        }
    }

    /**
     * Matches granted slots with waiting requests and gives the rest back.
     *
     * @param share The account.
     * @param organisation The organisation that they were granted to.
     * @param totals The totals of its slots.
     * @param assignments Receives the requests that got slots.
     */
    private void matchGranted(
            HeldShare share, String organisation, HeldTotals totals, List<Assignment> assignments) {
        while (totals.idle() > 0) {
            Optional<QueueKey> queue = mostUrgentQueue(share.target(), organisation);
            if (queue.isEmpty()) {
                totals.releaseIdle();
                return;
            }
            assignments.add(assign(queue.get(), share, organisation));
        }
    }

    /**
     * Finds the queue of an organisation with the most urgent request that a target may serve.
     *
     * @param target The target.
     * @param organisation The organisation.
     * @return The queue or empty if nothing waits.
     */
    private Optional<QueueKey> mostUrgentQueue(Target target, String organisation) {
        QueueKey chosen = null;
        long earliest = Long.MAX_VALUE;
        for (Pool pool : target.pools()) {
            QueueKey key = new QueueKey(pool, organisation);
            WaitingQueue queue = queues.get(key);
            if (queue != null && queue.first().orElseThrow().urgentSince() < earliest) {
                earliest = queue.first().orElseThrow().urgentSince();
                chosen = key;
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Takes the next request of a queue and gives it an idle slot.
     *
     * @param key The queue, not empty.
     * @param share The account.
     * @param slotClass The class of the slot.
     * @return The assignment.
     */
    private Assignment assign(QueueKey key, HeldShare share, String slotClass) {
        WaitingQueue queue = queues.get(key);
        List<Target> pool = pools.getOrDefault(key.pool(), List.of());
        Target target = share.target();
        WaitingRequest request =
                queue.poll(candidate -> chooser.prefers(candidate, pool, target)).orElseThrow();
        waiting--;
        removeIfEmpty(key, queue);
        queueChanged(key);
        boolean prefix = chooser.prefers(request, pool, target);
        AssignmentReason reason =
                prefix ? AssignmentReason.GRANTED_PREFIX : AssignmentReason.GRANTED;
        return use(request, share, slotClass, reason);
    }

    /**
     * Takes an idle slot into use.
     *
     * @param request The request.
     * @param share The account.
     * @param slotClass The class of the slot.
     * @param reason Why this target.
     * @return The assignment.
     */
    private Assignment use(
            WaitingRequest request, HeldShare share, String slotClass, AssignmentReason reason) {
        share.totals(slotClass).use();
        String organisation = request.organisation();
        String target = share.target().name();
        share.addRunning(organisation, 1);
        running.merge(new GrantKey(target, organisation), 1, Integer::sum);
        runningAt.merge(target, 1, Integer::sum);
        slotChanged(share, organisation);
        return new Assignment(
                request, new Slot(share, share.term(), slotClass, organisation), reason);
    }

    /**
     * Returns whether a lent slot is idle at a target.
     *
     * @param target The target.
     * @return {@code true} if one is.
     */
    private boolean hasIdleLent(Target target) {
        HeldShare share = shares.get(target.name());
        return share != null && share.totals(SlotClass.ANY).idle() > 0;
    }

    /**
     * Removes a queue that is empty.
     *
     * @param key The queue's key.
     * @param queue The queue.
     */
    private void removeIfEmpty(QueueKey key, WaitingQueue queue) {
        if (queue.size() == 0) {
            queues.remove(key);
        }
    }

    /**
     * Notes that a queue changed, for the keepers of its pool's targets.
     *
     * @param key The queue.
     */
    private void queueChanged(QueueKey key) {
        for (Target target : pools.getOrDefault(key.pool(), List.of())) {
            KeeperLink link = links.get(keepers.get(target.name()));
            if (link != null) {
                link.queueChanged(key);
            }
        }
    }

    /**
     * Notes that totals changed, for the keeper of the target.
     *
     * @param share The account.
     * @param slotClass The class.
     */
    private void slotChanged(HeldShare share, String slotClass) {
        KeeperLink link = links.get(share.keeper());
        if (link != null) {
            link.slotChanged(new GrantKey(share.target().name(), slotClass));
        }
    }

    /**
     * Builds a report of everything.
     *
     * @param keeper The keeper.
     * @param link What it was told.
     * @param now The time.
     * @return The report.
     */
    private SlotReport completeReport(KeeperReference keeper, KeeperLink link, long now) {
        link.completed(now);
        List<Demand> demands = new ArrayList<>();
        for (QueueKey key : queues.keySet()) {
            if (concerns(keeper, key.pool())) {
                ToldDemand current = demand(key);
                link.tell(key, current);
                demands.add(message(key, current, now));
            }
        }
        List<Holding> holdings = new ArrayList<>();
        List<FailureCount> counts = new ArrayList<>();
        for (HeldShare share : shares.values()) {
            if (share.keeper().equals(keeper)) {
                addHoldings(share, holdings);
                String target = share.target().name();
                if (failures.containsKey(target)) {
                    counts.add(new FailureCount(target, failures.get(target)));
                }
            }
        }
        return report(keeper, true, demands, holdings, counts);
    }

    /**
     * Adds all slots at a target to a report.
     *
     * @param share The account.
     * @param holdings Receives the slots.
     */
    private void addHoldings(HeldShare share, List<Holding> holdings) {
        String target = share.target().name();
        for (String slotClass : share.classes().keySet()) {
            holdings.add(holding(new GrantKey(target, slotClass)));
        }
        for (Map.Entry<GrantKey, Integer> entry : running.entrySet()) {
            GrantKey key = entry.getKey();
            boolean listed = share.classes().containsKey(key.slotClass());
            if (key.target().equals(target) && !listed && entry.getValue() > 0) {
                holdings.add(holding(key));
            }
        }
    }

    /**
     * Builds a report of what changed.
     *
     * @param keeper The keeper.
     * @param link What it was told.
     * @param now The time.
     * @return The report or empty if there is no news.
     */
    private Optional<SlotReport> changeReport(KeeperReference keeper, KeeperLink link, long now) {
        List<Demand> demands = new ArrayList<>();
        for (QueueKey key : link.takeChangedQueues()) {
            ToldDemand current = demand(key);
            if (link.told(key).differs(current, parameters.headChangeMillis())) {
                link.tell(key, current);
                demands.add(message(key, current, now));
            }
        }
        List<Holding> holdings = new ArrayList<>();
        for (GrantKey key : link.takeChangedSlots()) {
            holdings.add(holding(key));
        }
        List<FailureCount> counts = new ArrayList<>();
        for (String target : link.takeChangedFailures()) {
            counts.add(new FailureCount(target, failures.get(target)));
        }
        if (demands.isEmpty() && holdings.isEmpty() && counts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(report(keeper, false, demands, holdings, counts));
    }

    /**
     * Builds a report.
     *
     * @param keeper The keeper.
     * @param complete {@code true} if the report lists everything.
     * @param demands The queues.
     * @param holdings The slots.
     * @param counts The failures.
     * @return The report.
     */
    private SlotReport report(
            KeeperReference keeper,
            boolean complete,
            List<Demand> demands,
            List<Holding> holdings,
            List<FailureCount> counts) {
        sequence++;
        return new SlotReport(
                name,
                incarnation,
                keeper.incarnation(),
                sequence,
                complete,
                demands,
                holdings,
                counts);
    }

    /**
     * Returns whether a keeper keeps any target of a pool.
     *
     * @param keeper The keeper.
     * @param pool The pool.
     * @return {@code true} if it does.
     */
    private boolean concerns(KeeperReference keeper, Pool pool) {
        return pools.getOrDefault(pool, List.of()).stream()
                .anyMatch(target -> keeper.equals(keepers.get(target.name())));
    }

    /**
     * Returns what a keeper would be told of a queue now.
     *
     * @param key The queue.
     * @return What is the case.
     */
    private ToldDemand demand(QueueKey key) {
        WaitingQueue queue = queues.get(key);
        if (queue == null) {
            return ToldDemand.NOTHING;
        }
        int told = Math.min(queue.size(), parameters.demandLimit());
        return new ToldDemand(told, queue.first().orElseThrow().urgentSince());
    }

    /**
     * Builds the message about a queue.
     *
     * @param key The queue.
     * @param demand What is told.
     * @param now The time.
     * @return The message.
     */
    private static Demand message(QueueKey key, ToldDemand demand, long now) {
        long urgency = demand.waiting() == 0 ? 0 : now - demand.urgentSince();
        return new Demand(key.pool(), key.organisation(), demand.waiting(), urgency);
    }

    /**
     * Builds the message about a class of slots.
     *
     * @param key The target and class.
     * @return The message.
     */
    private Holding holding(GrantKey key) {
        HeldShare share = shares.get(key.target());
        int runs = running.getOrDefault(key, 0);
        if (share == null) {
            return new Holding(key.target(), 0, key.slotClass(), 0, 0, runs, runs);
        }
        HeldTotals totals = share.classes().getOrDefault(key.slotClass(), new HeldTotals());
        int carried = runs - share.running(key.slotClass());
        return new Holding(
                key.target(),
                share.term(),
                key.slotClass(),
                totals.seen(),
                totals.released(),
                runs,
                carried);
    }
}
