package org.martenwell.schedule;

/** Contract terms of organisations that affect scheduling. */
public interface OrganisationTerms {

    /**
     * Returns an organisation's weight, its share of service relative to other organisations.
     *
     * @param organisation The organisation.
     * @return The weight, greater than 0.
     */
    double weight(String organisation);

    /**
     * Returns the maximum number of requests that an organisation may run at once over the fleet.
     *
     * @param organisation The organisation.
     * @return The number of requests; {@link Integer#MAX_VALUE} means no limit.
     */
    int maxConcurrent(String organisation);
}
