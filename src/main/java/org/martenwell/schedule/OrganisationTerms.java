package org.martenwell.schedule;

/** Tells the terms of contracts that scheduling needs. */
public interface OrganisationTerms {

    /**
     * Returns an organisation's share of service relative to others.
     *
     * @param organisation The organisation.
     * @return The weight, greater than 0.
     */
    double weight(String organisation);

    /**
     * Returns the most requests that an organisation may run at once over the fleet.
     *
     * @param organisation The organisation.
     * @return The number of requests.
     */
    int maxConcurrent(String organisation);
}
