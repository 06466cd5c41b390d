package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.martenwell.configuration.Target;

/** Slots that one router holds at all targets, and counts of the requests that run in them. */
final class HeldSlots implements TargetLoads {

    private final Map<String, TargetSlots> slotsByTarget = new TreeMap<>();

    /** Number of running requests, by target and organisation. */
    private final Map<SlotClassKey, Integer> running = new HashMap<>();

    private final Map<String, Integer> runningByTarget = new HashMap<>();

    /** Number of failed requests since the start, by target. */
    private final Map<String, Long> failureCounts = new TreeMap<>();

    /** Creates an instance without slots. */
    HeldSlots() {}

    /**
     * Sets the targets and their coordinators. Idle slots of previous coordinators are dropped;
     * running requests continue.
     *
     * @param targets All targets.
     * @param coordinators The coordinators by target name.
     */
    void assign(List<Target> targets, Map<String, CoordinatorReference> coordinators) {
        Map<String, TargetSlots> assigned = new TreeMap<>();
        for (Target target : targets) {
            CoordinatorReference coordinator = coordinators.get(target.name());
            TargetSlots targetSlots = slotsByTarget.get(target.name());
            if (coordinator != null) {
                boolean unchanged =
                        targetSlots != null && targetSlots.coordinator().equals(coordinator);
                assigned.put(
                        target.name(),
                        unchanged ? targetSlots : new TargetSlots(target, coordinator));
            }
        }
        slotsByTarget.clear();
        slotsByTarget.putAll(assigned);
    }

    /**
     * Finds the slots at a target.
     *
     * @param target The target's name.
     * @return The slots, or empty if the target has no coordinator.
     */
    Optional<TargetSlots> find(String target) {
        return Optional.ofNullable(slotsByTarget.get(target));
    }

    /** {@return the slots at each target that has a coordinator} */
    Collection<TargetSlots> all() {
        return slotsByTarget.values();
    }

    /**
     * Checks whether a target has an idle lent slot.
     *
     * @param target The target.
     * @return {@code true} if at least one lent slot is idle.
     */
    boolean hasIdleLent(Target target) {
        return find(target.name())
                .filter(targetSlots -> targetSlots.totals(SlotClass.ANY).idle() > 0)
                .isPresent();
    }

    /**
     * Takes an idle slot into use.
     *
     * @param targetSlots The slots at the target.
     * @param slotClass The class of the slot.
     * @param organisation The organisation of the request.
     * @return The slot.
     */
    Slot use(TargetSlots targetSlots, String slotClass, String organisation) {
        String target = targetSlots.target().name();
        targetSlots.totals(slotClass).use();
        targetSlots.addRunning(organisation, 1);
        running.merge(new SlotClassKey(target, organisation), 1, Integer::sum);
        runningByTarget.merge(target, 1, Integer::sum);
        return new Slot(targetSlots, targetSlots.term(), slotClass, organisation);
    }

    /**
     * Releases a slot when its request ends.
     *
     * @param slot The slot.
     * @param failed {@code true} if the target failed.
     */
    void release(Slot slot, boolean failed) {
        String target = slot.target().name();
        running.merge(new SlotClassKey(target, slot.organisation()), -1, Integer::sum);
        runningByTarget.merge(target, -1, Integer::sum);
        slot.targetSlots().release(slot);
        if (failed) {
            failureCounts.merge(target, 1L, Long::sum);
        }
    }

    /**
     * Builds the report on one slot class.
     *
     * @param key The target and slot class.
     * @return The totals and running requests of the class.
     */
    Holding holding(SlotClassKey key) {
        int runningCount = running.getOrDefault(key, 0);
        TargetSlots targetSlots = slotsByTarget.get(key.target());
        if (targetSlots == null) {
            return new Holding(key.target(), 0, key.slotClass(), 0, 0, runningCount, runningCount);
        }
        HeldSlotTotals totals =
                targetSlots.classes().getOrDefault(key.slotClass(), new HeldSlotTotals());
        return new Holding(
                key.target(),
                targetSlots.term(),
                key.slotClass(),
                totals.acknowledged(),
                totals.released(),
                runningCount,
                runningCount - targetSlots.running(key.slotClass()));
    }

    /**
     * Builds the reports on all slot classes of a target, including those that only have requests
     * carried over from an earlier term.
     *
     * @param targetSlots The slots at the target.
     * @return The totals and running requests by class.
     */
    List<Holding> holdings(TargetSlots targetSlots) {
        String target = targetSlots.target().name();
        List<Holding> holdings = new ArrayList<>();
        for (String slotClass : targetSlots.classes().keySet()) {
            holdings.add(holding(new SlotClassKey(target, slotClass)));
        }
        for (Map.Entry<SlotClassKey, Integer> entry : running.entrySet()) {
            SlotClassKey key = entry.getKey();
            boolean listed = targetSlots.classes().containsKey(key.slotClass());
            if (key.target().equals(target) && !listed && entry.getValue() > 0) {
                holdings.add(holding(key));
            }
        }
        return holdings;
    }

    /**
     * Returns the number of requests that failed at a target.
     *
     * @param target The target's name.
     * @return The count, or empty if none failed.
     */
    Optional<FailureCount> failureCount(String target) {
        return Optional.ofNullable(failureCounts.get(target))
                .map(total -> new FailureCount(target, total));
    }

    /** {@return the number of requests running at all targets} */
    int running() {
        return runningByTarget.values().stream().mapToInt(Integer::intValue).sum();
    }

    @Override
    public double load(Target target) {
        return runningByTarget.getOrDefault(target.name(), 0) / (double) target.slots();
    }
}
