package org.martenwell.schedule;

/**
 * Counters of one organisation, as reported by one router.
 *
 * @param organisation The organisation.
 * @param served The weighted service delivered by the router since its start, in units; never
 *     decreases.
 * @param lift The weighted service credited to the organisation on return from idle, the same for
 *     the whole fleet; never decreases.
 * @param inUse The number of slots that the router, as coordinator, has granted to the organisation
 *     and that are not released.
 */
public record ServiceEntry(String organisation, double served, double lift, int inUse) {}
