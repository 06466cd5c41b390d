package org.martenwell.schedule;

/**
 * Slots of one class that a router holds at one target, as reported to the target's coordinator.
 * Totals count from the start of the coordinator's term and never decrease, so lost, late and
 * repeated reports are harmless.
 *
 * @param target The target's name.
 * @param term The coordinator's term that the totals belong to, or 0 if the router does not know it
 *     yet.
 * @param slotClass The organisation that the slots were granted to, or {@link SlotClass#ANY}.
 * @param acknowledged The total number of granted slots that the router acknowledges.
 * @param released The total number of slots that the router has released.
 * @param running The number of this organisation's requests that run at the target, in slots of any
 *     class.
 * @param carried The number of running requests whose slots were granted in another term or by
 *     another coordinator.
 */
public record Holding(
        String target,
        long term,
        String slotClass,
        long acknowledged,
        long released,
        int running,
        int carried) {

    /**
     * Converts this holding for a coordinator in another term: the totals are dropped and all
     * running requests count as carried over.
     *
     * @return The converted holding.
     */
    Holding carriedOver() {
        return new Holding(target, 0, slotClass, 0, 0, running, running);
    }
}
