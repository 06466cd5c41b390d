package org.martenwell.schedule;

/**
 * Names one total of a keeper towards a router.
 *
 * @param target The target.
 * @param slotClass The organisation or {@link SlotClass#ANY}.
 */
record GrantKey(String target, String slotClass) {}
