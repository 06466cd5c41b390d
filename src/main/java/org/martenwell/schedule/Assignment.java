package org.martenwell.schedule;

/**
 * Request that received a slot.
 *
 * @param request The request.
 * @param slot The slot.
 * @param reason The reason for choosing the target.
 */
public record Assignment(WaitingRequest request, Slot slot, AssignmentReason reason) {}
