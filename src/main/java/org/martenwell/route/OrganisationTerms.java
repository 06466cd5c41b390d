package org.martenwell.route;

/**
 * An organisation.
 *
 * @param name The name.
 * @param priority The rank of its requests; 0 is the highest.
 */
public record OrganisationTerms(String name, int priority) {}
