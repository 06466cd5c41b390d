package org.martenwell.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Slots that a coordinator has granted to one router at one target, with the router's latest
 * reports.
 */
final class RouterAllocation {

    private final long incarnation;

    /** Grant totals by slot class. */
    private final Map<String, GrantTotals> classes = new HashMap<>();

    /** Running requests by organisation. */
    private final Map<String, Integer> running = new HashMap<>();

    /**
     * Running requests in slots granted in another term or by another coordinator, by organisation.
     */
    private final Map<String, Integer> carried = new HashMap<>();

    /** Number of the target's slots allocated to the router, over all classes. */
    private int taken;

    /** Number of recently released slots, halved periodically. */
    private double recentUse;

    private long failureTotal;

    /** {@code true} once the router has reported all its slots. */
    private boolean reported;

    /**
     * Creates an empty allocation.
     *
     * @param incarnation The router's incarnation.
     */
    RouterAllocation(long incarnation) {
        this.incarnation = incarnation;
    }

    /** {@return the router's incarnation} */
    long incarnation() {
        return incarnation;
    }

    /**
     * Returns the totals of a slot class, created if absent.
     *
     * @param slotClass The slot class.
     * @return The totals.
     */
    GrantTotals totals(String slotClass) {
        return classes.computeIfAbsent(slotClass, key -> new GrantTotals());
    }

    /** {@return the grant totals by slot class} */
    Map<String, GrantTotals> classes() {
        return classes;
    }

    /**
     * Applies the reported totals of one class.
     *
     * @param holding The reported totals.
     * @return The number of slots released since the previous report.
     */
    int receive(Holding holding) {
        GrantTotals totals = totals(holding.slotClass());
        int before = totals.outstanding();
        totals.receive(holding);
        int releasedSlots = before - totals.outstanding();
        int carriedBefore = carried.getOrDefault(holding.slotClass(), 0);
        taken += holding.carried() - carriedBefore - releasedSlots;
        recentUse += releasedSlots;
        running.put(holding.slotClass(), holding.running());
        carried.put(holding.slotClass(), holding.carried());
        return releasedSlots;
    }

    /**
     * Applies the reported number of failed requests.
     *
     * @param total The total since the router's start.
     * @return {@code true} if the total increased.
     */
    boolean receiveFailures(long total) {
        boolean increased = total > failureTotal;
        failureTotal = Math.max(failureTotal, total);
        return increased;
    }

    /** Records that the router has reported all its slots. */
    void markReported() {
        reported = true;
    }

    /** {@return {@code true} once the router has reported all its slots} */
    boolean reported() {
        return reported;
    }

    /**
     * Grants one slot.
     *
     * @param totals The totals of its class.
     */
    void grant(GrantTotals totals) {
        totals.grant();
        taken++;
    }

    /** {@return the number of the target's slots allocated to the router} */
    int taken() {
        return taken;
    }

    /**
     * Returns the number of the target's slots that an organisation uses through this router,
     * including unacknowledged grants.
     *
     * @param organisation The organisation.
     * @return The number of slots.
     */
    int taken(String organisation) {
        GrantTotals totals = classes.get(organisation);
        int unacknowledged = totals == null ? 0 : totals.unacknowledged();
        return running.getOrDefault(organisation, 0) + unacknowledged;
    }

    /** {@return the number of recently released slots, older ones counted less} */
    double recentUse() {
        return recentUse;
    }

    /** Halves the recent use. Called periodically. */
    void decayRecentUse() {
        recentUse /= 2;
    }
}
