package org.martenwell.schedule;

/**
 * A request that got a slot.
 *
 * @param request The request.
 * @param slot The slot.
 * @param reason Why this target.
 */
public record Assignment(WaitingRequest request, Slot slot, AssignmentReason reason) {}
