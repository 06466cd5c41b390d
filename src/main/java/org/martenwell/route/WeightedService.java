package org.martenwell.route;

/**
 * Service with its share of a route's requests.
 *
 * @param service The name of the service.
 * @param weight The share, relative to the weights of the route's other services.
 */
public record WeightedService(String service, double weight) {}
