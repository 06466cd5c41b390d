package org.martenwell.schedule;

/**
 * A keeper's decision to grant a slot.
 *
 * @param target The target.
 * @param organisation The organisation.
 * @param router The router.
 * @param rank The organisation's rank, the least among those that waited.
 * @param contenders How many organisations waited.
 */
public record GrantDecision(
        String target, String organisation, String router, double rank, int contenders) {}
