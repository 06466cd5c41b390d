package org.martenwell.schedule;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.configuration.Target;

/** A router's account of its slots at one target, from one keeper incarnation. */
final class HeldShare {

    /** The target. */
    private final Target target;

    /** The keeper that grants the slots. */
    private final KeeperReference keeper;

    /** The totals by class. */
    private final Map<String, HeldTotals> classes = new HashMap<>();

    /** The requests that run in these slots, by organisation. */
    private final Map<String, Integer> running = new HashMap<>();

    /** The keeper's term that the totals belong to, 0 until the keeper told it. */
    private long term;

    /** {@code true} while lent slots are to be given back at once. */
    private boolean recalled;

    /**
     * Creates an empty account.
     *
     * @param target The target.
     * @param keeper The keeper that grants the slots.
     */
    HeldShare(Target target, KeeperReference keeper) {
        this.target = target;
        this.keeper = keeper;
    }

    /**
     * Returns the target.
     *
     * @return The target.
     */
    Target target() {
        return target;
    }

    /**
     * Returns the keeper that grants the slots.
     *
     * @return The keeper.
     */
    KeeperReference keeper() {
        return keeper;
    }

    /**
     * Returns the keeper's term that the totals belong to.
     *
     * @return The term, 0 until the keeper told it.
     */
    long term() {
        return term;
    }

    /**
     * Starts anew in a later term of the keeper. Requests that run go on and are carried over.
     *
     * @param later The term.
     */
    void restart(long later) {
        term = later;
        classes.clear();
        running.clear();
        recalled = false;
    }

    /**
     * Takes back the slot of a request that ended.
     *
     * @param slot The slot.
     */
    void finish(Slot slot) {
        if (slot.term() == term) {
            addRunning(slot.organisation(), -1);
            totals(slot.slotClass()).release();
        }
    }

    /**
     * Returns the totals of a class.
     *
     * @param slotClass The class.
     * @return The totals.
     */
    HeldTotals totals(String slotClass) {
        return classes.computeIfAbsent(slotClass, key -> new HeldTotals());
    }

    /**
     * Returns all totals.
     *
     * @return The totals by class.
     */
    Map<String, HeldTotals> classes() {
        return classes;
    }

    /**
     * Returns how many requests of an organisation run in these slots.
     *
     * @param organisation The organisation.
     * @return The number of requests.
     */
    int running(String organisation) {
        return running.getOrDefault(organisation, 0);
    }

    /**
     * Changes how many requests of an organisation run in these slots.
     *
     * @param organisation The organisation.
     * @param change The change.
     */
    void addRunning(String organisation, int change) {
        running.merge(organisation, change, Integer::sum);
    }

    /**
     * Returns whether lent slots are to be given back at once.
     *
     * @return {@code true} if they are recalled.
     */
    boolean recalled() {
        return recalled;
    }

    /**
     * Says whether lent slots are to be given back at once.
     *
     * @param now {@code true} if they are recalled.
     */
    void recalled(boolean now) {
        recalled = now;
    }
}
