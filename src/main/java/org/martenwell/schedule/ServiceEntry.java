package org.martenwell.schedule;

/**
 * What one router tells of one organisation.
 *
 * @param organisation The organisation.
 * @param served The weighted service that the router delivered since its start, never falling.
 * @param lift The weighted service added for all on return from idle, never falling.
 * @param inUse The slots that the router, as keeper, has granted to the organisation and that are
 *     not back.
 */
public record ServiceEntry(String organisation, double served, double lift, int inUse) {}
