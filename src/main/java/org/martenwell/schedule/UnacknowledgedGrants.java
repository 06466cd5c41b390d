package org.martenwell.schedule;

/** Lookup of the slots that were granted to a router and not yet acknowledged. */
@FunctionalInterface
interface UnacknowledgedGrants {

    /**
     * Returns the number of unacknowledged slots.
     *
     * @param router The router's name.
     * @param organisation The organisation that the slots were granted to.
     * @return The number of slots.
     */
    int count(String router, String organisation);
}
