package org.martenwell.schedule;

/**
 * Totals of the slots of one class at one target that a coordinator has granted to one router in
 * the current term.
 */
final class GrantTotals {

    private long granted;

    /** Total number of granted slots that the router has acknowledged. */
    private long acknowledged;

    private long released;

    /** Total number of granted slots at the time of the last recall. */
    private long recalledTotal;

    /** Time at which the total was last sent. */
    private long sentAt;

    /** Creates totals of zero. */
    GrantTotals() {}

    /** Grants one slot. */
    void grant() {
        granted++;
    }

    /**
     * Applies a router's report. The totals never decrease and never exceed the grants, so reports
     * may arrive in any order.
     *
     * @param holding The reported totals.
     */
    void receive(Holding holding) {
        acknowledged = Math.max(acknowledged, Math.min(holding.acknowledged(), granted));
        released = Math.max(released, Math.min(holding.released(), granted));
    }

    /** {@return the total number of slots granted} */
    long granted() {
        return granted;
    }

    /**
     * Builds a report of a router that runs no requests, with the totals received last.
     *
     * @param target The target's name.
     * @param term The coordinator's term.
     * @param slotClass The slot class.
     * @return The report.
     */
    Holding idle(String target, long term, String slotClass) {
        return new Holding(target, term, slotClass, acknowledged, released, 0, 0);
    }

    /** {@return the number of slots granted and not yet released} */
    int outstanding() {
        return (int) (granted - released);
    }

    /** {@return the number of granted slots that the router has not acknowledged yet} */
    int unacknowledged() {
        return (int) (granted - acknowledged);
    }

    /**
     * Marks the slots granted so far as recalled.
     *
     * @return {@code true} if slots were granted since the last recall.
     */
    boolean recall() {
        boolean firstRecall = recalledTotal != granted;
        recalledTotal = granted;
        return firstRecall;
    }

    /** {@return {@code true} if all slots granted so far are recalled} */
    boolean recalled() {
        return granted > 0 && recalledTotal == granted;
    }

    /**
     * Records the time at which the total was sent.
     *
     * @param now The current time in milliseconds.
     */
    void recordSent(long now) {
        sentAt = now;
    }

    /** {@return the time at which the total was last sent, in milliseconds} */
    long sentAt() {
        return sentAt;
    }
}
