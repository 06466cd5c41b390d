package org.martenwell.route;

/**
 * A service and its part of a route's requests.
 *
 * @param service The service's name.
 * @param weight The part, relative to the other weights.
 */
public record WeightedService(String service, double weight) {}
