package org.martenwell.route;

/**
 * Configuration of an organisation that has API keys.
 *
 * @param name The name of the organisation.
 * @param priority The priority of its requests; 0 is the highest.
 * @param valid {@code false} if no request to a target can carry the name; requests are refused.
 */
public record OrganisationConfiguration(String name, int priority, boolean valid) {}
