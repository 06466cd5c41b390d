package org.martenwell.route;

import java.util.List;

/**
 * Rule that selects requests by host and path, and the way in which they are served.
 *
 * @param name The name of the route.
 * @param host The host that the requests name, without a port. Requests name one outside ASCII by
 *     its A-labels.
 * @param pathPrefix The prefix of the request paths, which begins and ends with a slash. Requests
 *     percent-encode its characters outside ASCII.
 * @param type The type, which decides whether requests may be retried.
 * @param timeoutMillis The time from the arrival of a request to its deadline, in milliseconds.
 * @param objectiveMillis The latency objective (SLO) of a response or its first event, in
 *     milliseconds.
 * @param priority The priority; 0 is the highest.
 * @param services The services among which requests are split, and their weights.
 * @param maxAttempts The most attempts for a request, including the first.
 * @param anonymous {@code true} if requests need no API key.
 * @param resumable {@code true} if an interrupted stream may be resumed on another target.
 * @param eventIntervalMillis The latency objective between events of a stream, in milliseconds, 0
 *     if there is none.
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteType type,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean anonymous,
        boolean resumable,
        long eventIntervalMillis) {

    /** {@return {@code true} if a request may run more than once} */
    public boolean repeatable() {
        return type.repeatable(resumable);
    }

    /**
     * Returns whether requests may go to a service.
     *
     * @param service The name of the service.
     * @return {@code true} if it has a weight above 0.
     */
    public boolean leadsTo(String service) {
        return services.stream()
                .anyMatch(each -> each.service().equals(service) && each.weight() > 0);
    }

    /**
     * Selects a service according to the weights.
     *
     * @param point A random number from 0 (inclusive) to 1 (exclusive).
     * @return The name of the service.
     */
    public String service(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = point * total;
        for (WeightedService each : services) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
