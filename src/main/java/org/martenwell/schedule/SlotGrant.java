package org.martenwell.schedule;

/**
 * The slots of one class at one target that a keeper has granted to a router.
 *
 * @param target The target.
 * @param term How often the keeper has begun to keep targets, up to this one, so that totals of
 *     different times are never mixed up.
 * @param slotClass The organisation that may use them or {@link SlotClass#ANY}.
 * @param total The total granted since the term began, never falling.
 * @param recalled {@code true} if the router is to give back those that it does not use.
 */
public record SlotGrant(String target, long term, String slotClass, long total, boolean recalled) {}
