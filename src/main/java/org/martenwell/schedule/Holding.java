package org.martenwell.schedule;

/**
 * What a router tells a keeper of its slots of one class at one target. Totals count from the start
 * of the keeper's incarnation and never fall, so lost, late and repeated reports do no harm.
 *
 * @param target The target.
 * @param slotClass The organisation that the slots were granted to or {@link SlotClass#ANY}.
 * @param seen The total of slots that the router was granted.
 * @param released The total of slots that the router gave back.
 * @param running How many requests of this organisation run at the target now, whichever slot they
 *     use.
 * @param carried How many of them use slots that an earlier keeper granted.
 */
public record Holding(
        String target, String slotClass, long seen, long released, int running, int carried) {}
