package org.martenwell.schedule;

import org.martenwell.configuration.Target;

/** Slot of a target in use by one request. It has to be released exactly once. */
public final class Slot {

    private final TargetSlots targetSlots;

    /** Coordinator term in which the slot was granted. */
    private final long term;

    private final String slotClass;

    private final String organisation;

    private boolean released;

    /**
     * Creates a slot in use.
     *
     * @param targetSlots The router's slots at the target.
     * @param term The coordinator term in which the slot was granted.
     * @param slotClass The class of the slot.
     * @param organisation The organisation of the request.
     */
    Slot(TargetSlots targetSlots, long term, String slotClass, String organisation) {
        this.targetSlots = targetSlots;
        this.term = term;
        this.slotClass = slotClass;
        this.organisation = organisation;
    }

    /** {@return the target that the slot belongs to} */
    public Target target() {
        return targetSlots.target();
    }

    /** {@return the organisation of the request that uses the slot} */
    public String organisation() {
        return organisation;
    }

    /**
     * Checks whether the slot was lent to the router ahead of demand.
     *
     * @return {@code true} if it was lent, {@code false} if it was granted to the organisation.
     */
    public boolean lent() {
        return slotClass.equals(SlotClass.ANY);
    }

    /** {@return the router's slots at the target} */
    TargetSlots targetSlots() {
        return targetSlots;
    }

    /** {@return the coordinator term in which the slot was granted} */
    long term() {
        return term;
    }

    /** {@return the class of the slot} */
    String slotClass() {
        return slotClass;
    }

    /**
     * Marks the slot as released.
     *
     * @return {@code true} on the first call.
     */
    boolean markReleased() {
        boolean first = !released;
        released = true;
        return first;
    }
}
