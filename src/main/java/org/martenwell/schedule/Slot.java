package org.martenwell.schedule;

import org.martenwell.configuration.Target;

/** A slot of a target that one request uses. It must be finished exactly once. */
public final class Slot {

    /** The account that the slot belongs to. */
    private final HeldShare share;

    /** The keeper's term in which it was granted. */
    private final long term;

    /** The class of the slot. */
    private final String slotClass;

    /** The organisation that uses it. */
    private final String organisation;

    /** {@code true} once the request ended. */
    private boolean finished;

    /**
     * Creates a slot in use.
     *
     * @param share The account that the slot belongs to.
     * @param term The keeper's term in which it was granted.
     * @param slotClass The class of the slot.
     * @param organisation The organisation that uses it.
     */
    Slot(HeldShare share, long term, String slotClass, String organisation) {
        this.share = share;
        this.term = term;
        this.slotClass = slotClass;
        this.organisation = organisation;
    }

    /**
     * Returns the target that the slot belongs to.
     *
     * @return The target.
     */
    public Target target() {
        return share.target();
    }

    /**
     * Returns the organisation that uses the slot.
     *
     * @return The organisation.
     */
    public String organisation() {
        return organisation;
    }

    /**
     * Returns whether the slot was lent before anyone waited.
     *
     * @return {@code true} if it was lent, {@code false} if it was granted to the organisation.
     */
    public boolean lent() {
        return slotClass.equals(SlotClass.ANY);
    }

    /**
     * Returns the account that the slot belongs to.
     *
     * @return The account.
     */
    HeldShare share() {
        return share;
    }

    /**
     * Returns the keeper's term in which it was granted.
     *
     * @return The term.
     */
    long term() {
        return term;
    }

    /**
     * Returns the class of the slot.
     *
     * @return The class.
     */
    String slotClass() {
        return slotClass;
    }

    /**
     * Notes that the request ended.
     *
     * @return {@code true} the first time.
     */
    boolean finish() {
        boolean first = !finished;
        finished = true;
        return first;
    }
}
