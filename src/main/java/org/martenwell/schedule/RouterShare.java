package org.martenwell.schedule;

import java.util.HashMap;
import java.util.Map;

/** A keeper's account of one router's slots at one target. */
final class RouterShare {

    /** The incarnation of the router. */
    private final long incarnation;

    /** The totals by class. */
    private final Map<String, ClassTotals> classes = new HashMap<>();

    /** The requests that run now, by organisation. */
    private final Map<String, Integer> running = new HashMap<>();

    /** The requests that run in slots of an earlier keeper, by organisation. */
    private final Map<String, Integer> carried = new HashMap<>();

    /** How many of the target's slots the router takes, over all classes. */
    private int taken;

    /** How many slots the router gave back lately; it falls by half now and then. */
    private double recentUse;

    /** The total of failed requests that the router told. */
    private long failures;

    /** {@code true} once the router told its slots. */
    private boolean known;

    /**
     * Creates an empty account.
     *
     * @param incarnation The incarnation of the router.
     */
    RouterShare(long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Returns the incarnation of the router.
     *
     * @return The incarnation.
     */
    long incarnation() {
        return incarnation;
    }

    /**
     * Returns the totals of a class.
     *
     * @param slotClass The class.
     * @return The totals.
     */
    ClassTotals totals(String slotClass) {
        return classes.computeIfAbsent(slotClass, key -> new ClassTotals());
    }

    /**
     * Returns all totals.
     *
     * @return The totals by class.
     */
    Map<String, ClassTotals> classes() {
        return classes;
    }

    /**
     * Takes in what the router told of one class.
     *
     * @param holding What the router told.
     * @return How many slots came back.
     */
    int receive(Holding holding) {
        ClassTotals totals = totals(holding.slotClass());
        int before = totals.outstanding();
        totals.receive(holding);
        int back = before - totals.outstanding();
        int carriedBefore = carried.getOrDefault(holding.slotClass(), 0);
        taken += holding.carried() - carriedBefore - back;
        recentUse += back;
        running.put(holding.slotClass(), holding.running());
        carried.put(holding.slotClass(), holding.carried());
        return back;
    }

    /**
     * Takes in the total of failed requests.
     *
     * @param total The total since the router's start.
     * @return {@code true} if it grew.
     */
    boolean receiveFailures(long total) {
        boolean grew = total > failures;
        failures = Math.max(failures, total);
        return grew;
    }

    /** Notes that the router told all its slots. */
    void becomeKnown() {
        known = true;
    }

    /**
     * Returns whether the router told its slots.
     *
     * @return {@code true} once it did.
     */
    boolean known() {
        return known;
    }

    /**
     * Grants one slot.
     *
     * @param totals The totals of its class.
     */
    void grant(ClassTotals totals) {
        totals.grant();
        taken++;
    }

    /**
     * Returns how many of the target's slots this router takes.
     *
     * @return The number of slots.
     */
    int taken() {
        return taken;
    }

    /**
     * Returns how many of the target's slots an organisation takes through this router.
     *
     * @param organisation The organisation.
     * @return The number of slots.
     */
    int taken(String organisation) {
        ClassTotals totals = classes.get(organisation);
        int unseen = totals == null ? 0 : totals.unseen();
        return running.getOrDefault(organisation, 0) + unseen;
    }

    /**
     * Returns how many slots lately came back.
     *
     * @return The number of slots, older ones counted less.
     */
    double recentUse() {
        return recentUse;
    }

    /** Halves the memory of slots that lately came back. */
    void decayRecentUse() {
        recentUse /= 2;
    }
}
