package org.martenwell.schedule;

/**
 * Decision of a coordinator to grant a slot.
 *
 * @param target The target's name.
 * @param organisation The organisation that receives the slot.
 * @param router The router that receives the slot.
 * @param rank The organisation's rank in service units, the lowest among the contenders.
 * @param contenders The number of queues that competed for the slot.
 */
public record GrantDecision(
        String target, String organisation, String router, double rank, int contenders) {}
