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
 * The slots and the waiting requests of one router. Matches the requests with the slots that
 * coordinators granted or lent to this router, and collects the changes to report to them.
 */
public final class RouterSlots implements TargetLoads {

    private final long incarnation;

    private final TargetChooser chooser;

    private final QueueTable queues = new QueueTable();

    private final HeldSlots slots = new HeldSlots();

    private final CoordinatorReports reports;

    /** Names of the targets that accept no new requests. */
    private final Set<String> unavailableTargets = new HashSet<>();

    /** Targets by pool. */
    private Map<Pool, List<Target>> targetsByPool = Map.of();

    /**
     * Creates an instance without targets and slots.
     *
     * @param name This router's name.
     * @param incarnation This router's incarnation.
     * @param parameters The scheduling parameters.
     * @param chooser The strategy for choosing among targets.
     */
    public RouterSlots(
            String name, long incarnation, SchedulingParameters parameters, TargetChooser chooser) {
        this.incarnation = incarnation;
        this.chooser = chooser;
        this.reports = new CoordinatorReports(name, incarnation, parameters, queues, slots);
    }

    /**
     * Sets the targets and their coordinators. Running requests keep their slots; idle slots of
     * previous coordinators are dropped.
     *
     * @param targets All targets.
     * @param coordinators The coordinators by target name.
     */
    public void assign(List<Target> targets, Map<String, CoordinatorReference> coordinators) {
        Map<Pool, List<Target>> updated = new HashMap<>();
        for (Target target : targets) {
            for (Pool pool : target.pools()) {
                updated.computeIfAbsent(pool, key -> new ArrayList<>()).add(target);
            }
        }
        targetsByPool = updated;
        slots.assign(targets, coordinators);
        reports.assign(coordinators, updated);
    }

    /**
     * Makes the next report to a coordinator complete, because earlier reports may have been lost
     * with a connection.
     *
     * @param coordinator The coordinator's name.
     */
    public void requireCompleteReport(String coordinator) {
        reports.requireComplete(coordinator);
    }

    /**
     * Sets whether a target accepts new requests. Idle slots of a target that does not are
     * released.
     *
     * @param target The target's name.
     * @param accepting {@code false} if the target is draining or unavailable.
     */
    public void setAcceptsRequests(String target, boolean accepting) {
        if (accepting) {
            unavailableTargets.remove(target);
            return;
        }
        unavailableTargets.add(target);
        slots.find(target).ifPresent(this::releaseIdle);
    }

    /**
     * Assigns a request to an idle lent slot.
     *
     * @param request The request.
     * @return The assignment, or empty if no lent slot is idle and the request has to wait.
     */
    public Optional<Assignment> takeLent(WaitingRequest request) {
        List<Target> pool = targetsByPool.getOrDefault(request.pool(), List.of());
        List<Target> usable = pool.stream().filter(slots::hasIdleLent).toList();
        return chooser.choose(request, pool, usable, this)
                .flatMap(target -> slots.find(target.name()))
                .map(
                        targetSlots -> {
                            boolean prefix = chooser.prefers(request, pool, targetSlots.target());
                            AssignmentReason reason =
                                    prefix
                                            ? AssignmentReason.LENT_PREFIX
                                            : AssignmentReason.LENT_LEAST_LOADED;
                            return use(request, targetSlots, SlotClass.ANY, reason);
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
     * Removes a request from its queue, after a timeout or cancellation.
     *
     * @param request The request.
     * @return {@code true} if the request was still waiting.
     */
    public boolean withdraw(WaitingRequest request) {
        boolean removed = queues.remove(request);
        if (removed) {
            reports.queueChanged(QueueKey.of(request));
        }
        return removed;
    }

    /**
     * Applies grants and matches their slots with waiting requests. Granted slots that no request
     * can use are released at once. Grants to another incarnation of this router or from an
     * outdated coordinator are ignored.
     *
     * @param grants The grants.
     * @return The requests that received slots.
     */
    public List<Assignment> receive(SlotGrants grants) {
        List<Assignment> assignments = new ArrayList<>();
        CoordinatorReference coordinator =
                new CoordinatorReference(grants.coordinator(), grants.incarnation());
        if (grants.completeReportRequested()) {
            reports.requireComplete(coordinator);
        }
        if (grants.routerIncarnation() != incarnation) {
            return assignments;
        }
        for (SlotGrant grant : grants.grants()) {
            slots.find(grant.target())
                    .filter(targetSlots -> targetSlots.coordinator().equals(coordinator))
                    .ifPresent(targetSlots -> receive(targetSlots, grant, assignments));
        }
        return assignments;
    }

    /**
     * Releases a slot when its request ends. Has no effect on a slot that was already released.
     *
     * @param slot The slot.
     * @param failed {@code true} if the target failed.
     */
    public void release(Slot slot, boolean failed) {
        if (!slot.markReleased()) {
            return;
        }
        String target = slot.target().name();
        slots.release(slot, failed);
        reports.slotChanged(target, slot.organisation());
        reports.slotChanged(target, slot.slotClass());
        if (failed) {
            reports.failuresChanged(target);
        }
    }

    /**
     * Takes the pending reports to coordinators.
     *
     * @param now The current time in milliseconds.
     * @return The reports by coordinator; coordinators without changes are absent.
     */
    public Map<CoordinatorReference, SlotReport> takeReports(long now) {
        return reports.take(now);
    }

    /** {@return the number of requests waiting at this router} */
    public int waiting() {
        return queues.waiting();
    }

    /** {@return the number of requests running through this router} */
    public int running() {
        return slots.running();
    }

    @Override
    public double load(Target target) {
        return slots.load(target);
    }

    private void releaseIdle(TargetSlots targetSlots) {
        for (Map.Entry<String, HeldSlotTotals> entry : targetSlots.classes().entrySet()) {
            if (entry.getValue().releaseIdle() > 0) {
                reports.slotChanged(targetSlots.target().name(), entry.getKey());
            }
        }
    }

    /**
     * Applies one total and matches its slots. A later term discards the totals of the previous
     * one; an earlier term is ignored.
     *
     * @param targetSlots The slots at the target.
     * @param grant The total.
     * @param assignments Receives the requests that got slots.
     */
    private void receive(TargetSlots targetSlots, SlotGrant grant, List<Assignment> assignments) {
        if (grant.term() > targetSlots.term()) {
            targetSlots.restart(grant.term());
        }
        if (grant.term() < targetSlots.term()) {
            return;
        }
        HeldSlotTotals totals = targetSlots.totals(grant.slotClass());
        int newSlots = totals.receive(grant.total());
        if (unavailableTargets.contains(grant.target())) {
            totals.releaseIdle();
        } else if (grant.slotClass().equals(SlotClass.ANY)) {
            targetSlots.setRecalled(grant.recalled());
            matchLent(targetSlots, totals, assignments);
        } else {
            matchGranted(targetSlots, grant.slotClass(), totals, assignments);
        }
        if (newSlots > 0 || grant.recalled()) {
            reports.slotChanged(grant.target(), grant.slotClass());
        }
    }

    /**
     * Matches lent slots with waiting requests, or releases them if they are recalled.
     *
     * @param targetSlots The slots at the target.
     * @param totals The totals of lent slots.
     * @param assignments Receives the requests that got slots.
     */
    private void matchLent(
            TargetSlots targetSlots, HeldSlotTotals totals, List<Assignment> assignments) {
        if (targetSlots.recalled()) {
            totals.releaseIdle();
            return;
        }
        for (QueueKey key : queues.keys()) {
            boolean served = targetSlots.target().serves(key.pool());
            while (served && totals.idle() > 0 && queues.contains(key)) {
                assignments.add(assign(key, targetSlots, SlotClass.ANY));
            }
        }
    }

    /**
     * Matches granted slots with waiting requests and releases those left over.
     *
     * @param targetSlots The slots at the target.
     * @param organisation The organisation that the slots were granted to.
     * @param totals The totals of its slots.
     * @param assignments Receives the requests that got slots.
     */
    private void matchGranted(
            TargetSlots targetSlots,
            String organisation,
            HeldSlotTotals totals,
            List<Assignment> assignments) {
        while (totals.idle() > 0) {
            Optional<QueueKey> queue = queues.mostUrgent(targetSlots.target(), organisation);
            if (queue.isEmpty()) {
                totals.releaseIdle();
                return;
            }
            assignments.add(assign(queue.get(), targetSlots, organisation));
        }
    }

    /**
     * Assigns the next request of a queue to an idle slot.
     *
     * @param key The queue, not empty.
     * @param targetSlots The slots at the target.
     * @param slotClass The class of the slot.
     * @return The assignment.
     */
    private Assignment assign(QueueKey key, TargetSlots targetSlots, String slotClass) {
        List<Target> pool = targetsByPool.getOrDefault(key.pool(), List.of());
        Target target = targetSlots.target();
        WaitingRequest request =
                queues.take(key, candidate -> chooser.prefers(candidate, pool, target));
        reports.queueChanged(key);
        AssignmentReason reason =
                chooser.prefers(request, pool, target)
                        ? AssignmentReason.GRANTED_PREFIX
                        : AssignmentReason.GRANTED;
        return use(request, targetSlots, slotClass, reason);
    }

    /**
     * Takes an idle slot into use.
     *
     * @param request The request.
     * @param targetSlots The slots at the target.
     * @param slotClass The class of the slot.
     * @param reason The reason for choosing the target.
     * @return The assignment.
     */
    private Assignment use(
            WaitingRequest request,
            TargetSlots targetSlots,
            String slotClass,
            AssignmentReason reason) {
        Slot slot = slots.use(targetSlots, slotClass, request.organisation());
        reports.slotChanged(targetSlots.target().name(), request.organisation());
        return new Assignment(request, slot, reason);
    }
}
