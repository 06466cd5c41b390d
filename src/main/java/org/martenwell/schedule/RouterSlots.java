package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Target;

/**
 * A router's side of scheduling: it matches the requests that wait with the slots that keepers
 * granted or lent, and tells keepers what changed.
 */
public final class RouterSlots implements TargetLoads {

    /** This router's incarnation. */
    private final long incarnation;

    /** Chooses among targets. */
    private final TargetChooser chooser;

    /** The requests that wait. */
    private final QueueTable queues = new QueueTable();

    /** The slots. */
    private final HeldSlots slots = new HeldSlots();

    /** Tells keepers what changed. */
    private final KeeperReports reports;

    /** The targets that take no new work. */
    private final Set<String> closed = new HashSet<>();

    /** The targets of each pool. */
    private Map<Pool, List<Target>> pools = Map.of();

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
        this.incarnation = incarnation;
        this.chooser = chooser;
        this.reports = new KeeperReports(name, incarnation, parameters, queues, slots);
    }

    /**
     * Changes the targets and their keepers. Requests that run go on in their slots; slots of
     * earlier keepers that are idle are dropped.
     *
     * @param targets All targets.
     * @param keepers The keeper of each target, by target.
     */
    public void assign(List<Target> targets, Map<String, KeeperReference> keepers) {
        Map<Pool, List<Target>> changed = new HashMap<>();
        for (Target target : targets) {
            for (Pool pool : target.pools()) {
                changed.computeIfAbsent(pool, key -> new ArrayList<>()).add(target);
            }
        }
        pools = changed;
        slots.assign(targets, keepers);
        reports.assign(keepers, changed);
    }

    /**
     * Makes the next report to a keeper complete, because earlier ones may have been lost.
     *
     * @param keeper The keeper's name.
     */
    public void connectionLost(String keeper) {
        reports.requireComplete(keeper);
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
        slots.find(target).ifPresent(this::releaseIdle);
    }

    /**
     * Takes a slot that is lent, if one is idle.
     *
     * @param request The request.
     * @return The assignment or empty if the request has to wait.
     */
    public Optional<Assignment> takeLent(WaitingRequest request) {
        List<Target> pool = pools.getOrDefault(request.pool(), List.of());
        List<Target> usable = pool.stream().filter(slots::hasIdleLent).toList();
        return chooser.choose(request, pool, usable, this)
                .flatMap(target -> slots.find(target.name()))
                .map(
                        share -> {
                            boolean prefix = chooser.prefers(request, pool, share.target());
                            AssignmentReason reason =
                                    prefix
                                            ? AssignmentReason.LENT_PREFIX
                                            : AssignmentReason.LENT_LEAST_LOADED;
                            return use(request, share, SlotClass.ANY, reason);
                        });
    }

    /**
     * Adds a request to its queue.
     *
     * @param request The request.
     */
    public void enqueue(WaitingRequest request) {
        reports.queueChanged(queues.add(request));
    }

    /**
     * Removes a request from its queue.
     *
     * @param request The request.
     * @return {@code true} if it was still waiting.
     */
    public boolean withdraw(WaitingRequest request) {
        boolean removed = queues.remove(request);
        if (removed) {
            reports.queueChanged(QueueKey.of(request));
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
        if (grants.completeWanted()) {
            reports.requireComplete(keeper);
        }
        if (grants.routerIncarnation() != incarnation) {
            return assignments;
        }
        for (SlotGrant grant : grants.grants()) {
            slots.find(grant.target())
                    .filter(share -> share.keeper().equals(keeper))
                    .ifPresent(share -> receive(share, grant, assignments));
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
        String target = slot.target().name();
        slots.finish(slot, failed);
        reports.slotChanged(target, slot.organisation());
        reports.slotChanged(target, slot.slotClass());
        if (failed) {
            reports.failuresChanged(target);
        }
    }

    /**
     * Returns what keepers have to be told now.
     *
     * @param now The time.
     * @return The reports by keeper; keepers with no news are left out.
     */
    public Map<KeeperReference, SlotReport> takeReports(long now) {
        return reports.take(now);
    }

    /**
     * Returns how many requests wait at this router.
     *
     * @return The number of requests.
     */
    public int waiting() {
        return queues.waiting();
    }

    /**
     * Returns how many requests of this router run.
     *
     * @return The number of requests.
     */
    public int running() {
        return slots.running();
    }

    @Override
    public double load(Target target) {
        return slots.load(target);
    }

    /**
     * Gives back all idle slots at a target.
     *
     * @param share The slots at the target.
     */
    private void releaseIdle(HeldShare share) {
        for (Map.Entry<String, HeldTotals> entry : share.classes().entrySet()) {
            if (entry.getValue().releaseIdle() > 0) {
                reports.slotChanged(share.target().name(), entry.getKey());
            }
        }
    }

    /**
     * Takes in one total and matches its slots.
     *
     * @param share The slots at the target.
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
            reports.slotChanged(grant.target(), grant.slotClass());
        }
    }

    /**
     * Matches lent slots with waiting requests, and gives the rest back if they are recalled.
     *
     * @param share The slots at the target.
     * @param totals The totals of lent slots.
     * @param assignments Receives the requests that got slots.
     */
    private void matchLent(HeldShare share, HeldTotals totals, List<Assignment> assignments) {
        if (share.recalled()) {
            totals.releaseIdle();
            return;
        }
        for (QueueKey key : queues.keys()) {
            boolean served = share.target().serves(key.pool());
            while (served && totals.idle() > 0 && queues.contains(key)) {
                assignments.add(assign(key, share, SlotClass.ANY));
            }
        }
    }

    /**
     * Matches granted slots with waiting requests and gives the rest back.
     *
     * @param share The slots at the target.
     * @param organisation The organisation that they were granted to.
     * @param totals The totals of its slots.
     * @param assignments Receives the requests that got slots.
     */
    private void matchGranted(
            HeldShare share, String organisation, HeldTotals totals, List<Assignment> assignments) {
        while (totals.idle() > 0) {
            Optional<QueueKey> queue = queues.mostUrgent(share.target(), organisation);
            if (queue.isEmpty()) {
                totals.releaseIdle();
                return;
            }
            assignments.add(assign(queue.get(), share, organisation));
        }
    }

    /**
     * Takes the next request of a queue and gives it an idle slot.
     *
     * @param key The queue, not empty.
     * @param share The slots at the target.
     * @param slotClass The class of the slot.
     * @return The assignment.
     */
    private Assignment assign(QueueKey key, HeldShare share, String slotClass) {
        List<Target> pool = pools.getOrDefault(key.pool(), List.of());
        Target target = share.target();
        WaitingRequest request =
                queues.take(key, candidate -> chooser.prefers(candidate, pool, target));
        reports.queueChanged(key);
        AssignmentReason reason =
                chooser.prefers(request, pool, target)
                        ? AssignmentReason.GRANTED_PREFIX
                        : AssignmentReason.GRANTED;
        return use(request, share, slotClass, reason);
    }

    /**
     * Takes an idle slot into use.
     *
     * @param request The request.
     * @param share The slots at the target.
     * @param slotClass The class of the slot.
     * @param reason Why this target.
     * @return The assignment.
     */
    private Assignment use(
            WaitingRequest request, HeldShare share, String slotClass, AssignmentReason reason) {
        Slot slot = slots.use(share, slotClass, request.organisation());
        reports.slotChanged(share.target().name(), request.organisation());
        return new Assignment(request, slot, reason);
    }
}
