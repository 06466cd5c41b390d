package org.martenwell.schedule;

/**
 * What a router tells a keeper of its slots of one class at one target. Totals count from the start
 * of the keeper's term and never fall, so lost, late and repeated reports do no harm.
 *
 * @param target The target.
 * @param term The keeper's term that the totals belong to, 0 if it has told none yet.
 * @param slotClass The organisation that the slots were granted to or {@link SlotClass#ANY}.
 * @param seen The total of slots that the router was granted.
 * @param released The total of slots that the router gave back.
 * @param running How many requests of this organisation run at the target now, whichever slot they
 *     use.
 * @param carried How many of them use slots that an earlier keeper granted.
 */
public record Holding(
        String target,
        long term,
        String slotClass,
        long seen,
        long released,
        int running,
        int carried) {

    /**
     * Returns this holding as a keeper in another term sees it: everything that runs is carried
     * over.
     *
     * @return The holding.
     */
    Holding carriedOver() {
        return new Holding(target, 0, slotClass, 0, 0, running, running);
    }
}
