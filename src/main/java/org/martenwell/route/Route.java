package org.martenwell.route;

import java.util.List;

/**
 * A route: which requests it takes and how they are served.
 *
 * @param name The name.
 * @param host The host that callers name.
 * @param pathPrefix The prefix of the paths; it begins and ends with a slash.
 * @param type The kind of requests.
 * @param timeoutMillis How long a request may be held, in milliseconds.
 * @param objectiveMillis Within which time an answer is in time, in milliseconds.
 * @param priority The rank; 0 is the highest.
 * @param services The services and their parts.
 * @param maxAttempts To how many targets a request may be sent.
 * @param anonymous Whether requests need no key.
 * @param resumable Whether a stream may be taken up at another target.
 * @param pauseMillis The longest pause between events that is in time, in milliseconds, or 0.
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
        long pauseMillis) {

    /**
     * Returns whether a request may run again.
     *
     * @return {@code true} if it may.
     */
    public boolean repeatable() {
        return type.repeatable(resumable);
    }

    /**
     * Chooses a service.
     *
     * @param point A number from 0 (inclusive) to 1 (exclusive).
     * @return The name of the service at that point of the weights.
     */
    public String service(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = point * total;
        for (WeightedService each : services) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
