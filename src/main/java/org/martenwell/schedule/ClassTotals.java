package org.martenwell.schedule;

/** A keeper's account of one router's slots of one class at one target. */
final class ClassTotals {

    /** The total granted. */
    private long granted;

    /** The total that the router has seen. */
    private long seen;

    /** The total that the router has given back. */
    private long released;

    /** The total granted when the unused slots were last recalled. */
    private long recalledTotal;

    /** When the grant was last sent. */
    private long sentAt;

    /** Creates an empty account. */
    ClassTotals() {}

    /** Grants one slot. */
    void grant() {
        granted++;
    }

    /**
     * Takes in what the router told. Totals only grow, whatever the order of reports.
     *
     * @param holding What the router told.
     */
    void receive(Holding holding) {
        seen = Math.max(seen, Math.min(holding.seen(), granted));
        released = Math.max(released, Math.min(holding.released(), granted));
    }

    /**
     * Returns the total granted.
     *
     * @return The total.
     */
    long granted() {
        return granted;
    }

    /**
     * Returns what a router tells that has no request running and saw nothing new.
     *
     * @param target The target.
     * @param term The keeper's term.
     * @param slotClass The class.
     * @return The holding.
     */
    Holding idle(String target, long term, String slotClass) {
        return new Holding(target, term, slotClass, seen, released, 0, 0);
    }

    /**
     * Returns the slots that are not back.
     *
     * @return The number of slots.
     */
    int outstanding() {
        return (int) (granted - released);
    }

    /**
     * Returns the slots that the router has not seen yet.
     *
     * @return The number of slots.
     */
    int unseen() {
        return (int) (granted - seen);
    }

    /**
     * Notes that the unused slots are recalled.
     *
     * @return {@code true} if they were not recalled since the last grant.
     */
    boolean recall() {
        boolean fresh = recalledTotal != granted;
        recalledTotal = granted;
        return fresh;
    }

    /**
     * Returns whether the slots granted so far are recalled.
     *
     * @return {@code true} if they are.
     */
    boolean recalled() {
        return granted > 0 && recalledTotal == granted;
    }

    /**
     * Notes that the grant was sent.
     *
     * @param now The time.
     */
    void sent(long now) {
        sentAt = now;
    }

    /**
     * Returns when the grant was last sent.
     *
     * @return The time.
     */
    long sentAt() {
        return sentAt;
    }
}
