package org.martenwell.schedule;

/**
 * The slots of one class at one target that a keeper has granted to a router.
 *
 * @param target The target.
 * @param slotClass The organisation that may use them or {@link SlotClass#ANY}.
 * @param total The total granted since the keeper's incarnation began, never falling.
 * @param recalled {@code true} if the router is to give back those that it does not use.
 */
public record SlotGrant(String target, String slotClass, long total, boolean recalled) {}
