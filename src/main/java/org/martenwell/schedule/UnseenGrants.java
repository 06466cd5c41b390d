package org.martenwell.schedule;

/** Tells how many slots were granted that a router has not seen yet. */
@FunctionalInterface
interface UnseenGrants {

    /**
     * Counts the slots under way to a router for an organisation.
     *
     * @param router The router.
     * @param organisation The organisation.
     * @return The number of slots.
     */
    int count(String router, String organisation);
}
