package org.martenwell.schedule;

/**
 * Identifies the slots of one class at one target.
 *
 * @param target The target's name.
 * @param slotClass The organisation or {@link SlotClass#ANY}.
 */
record SlotClassKey(String target, String slotClass) {}
