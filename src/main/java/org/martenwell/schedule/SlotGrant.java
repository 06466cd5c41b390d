package org.martenwell.schedule;

/**
 * Total number of slots of one class at one target that a coordinator has granted to a router.
 *
 * @param target The target's name.
 * @param term The coordinator's term, which increases whenever the coordinator takes over a target,
 *     so that totals of different terms are never mixed.
 * @param slotClass The organisation that may use the slots, or {@link SlotClass#ANY}.
 * @param total The total granted since the start of the term; never decreases.
 * @param recalled {@code true} if the router has to release the slots that it does not use.
 */
public record SlotGrant(String target, long term, String slotClass, long total, boolean recalled) {}
