package org.martenwell.schedule;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.configuration.Target;

/** Slots that a router holds at one target, granted by one coordinator incarnation. */
final class TargetSlots {

    private final Target target;

    private final CoordinatorReference coordinator;

    /** Totals by slot class. */
    private final Map<String, HeldSlotTotals> classes = new HashMap<>();

    /** Requests that run in these slots, by organisation. */
    private final Map<String, Integer> running = new HashMap<>();

    private long term;

    /** {@code true} while unused lent slots have to be released. */
    private boolean recalled;

    /**
     * Creates an instance without slots.
     *
     * @param target The target.
     * @param coordinator The coordinator that grants the slots.
     */
    TargetSlots(Target target, CoordinatorReference coordinator) {
        this.target = target;
        this.coordinator = coordinator;
    }

    /** {@return the target} */
    Target target() {
        return target;
    }

    /** {@return the coordinator that grants the slots} */
    CoordinatorReference coordinator() {
        return coordinator;
    }

    /**
     * Returns the coordinator term that the totals belong to.
     *
     * @return The term, or 0 if no grant was received yet.
     */
    long term() {
        return term;
    }

    /**
     * Discards all totals at the start of a later term. Running requests continue and count as
     * carried over.
     *
     * @param later The new term.
     */
    void restart(long later) {
        term = later;
        classes.clear();
        running.clear();
        recalled = false;
    }

    /**
     * Releases the slot of a request that ended. Slots of an earlier term have no total to update.
     *
     * @param slot The slot.
     */
    void release(Slot slot) {
        if (slot.term() == term) {
            addRunning(slot.organisation(), -1);
            totals(slot.slotClass()).release();
        }
    }

    /**
     * Returns the totals of a slot class, created if absent.
     *
     * @param slotClass The slot class.
     * @return The totals.
     */
    HeldSlotTotals totals(String slotClass) {
        return classes.computeIfAbsent(slotClass, key -> new HeldSlotTotals());
    }

    /** {@return the totals by slot class} */
    Map<String, HeldSlotTotals> classes() {
        return classes;
    }

    /**
     * Returns the number of requests of an organisation that run in these slots.
     *
     * @param organisation The organisation.
     * @return The number of requests.
     */
    int running(String organisation) {
        return running.getOrDefault(organisation, 0);
    }

    /**
     * Changes the number of requests of an organisation that run in these slots.
     *
     * @param organisation The organisation.
     * @param change The change, negative for requests that ended.
     */
    void addRunning(String organisation, int change) {
        running.merge(organisation, change, Integer::sum);
    }

    /** {@return {@code true} if unused lent slots have to be released} */
    boolean recalled() {
        return recalled;
    }

    /**
     * Sets whether unused lent slots have to be released.
     *
     * @param recall {@code true} if lent slots are recalled.
     */
    void setRecalled(boolean recall) {
        recalled = recall;
    }
}
