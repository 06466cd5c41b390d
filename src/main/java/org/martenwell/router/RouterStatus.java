package org.martenwell.router;

import java.util.Map;
import java.util.Set;

/**
 * Status of a router for operators.
 *
 * @param router The router's name.
 * @param ready {@code true} if load balancers should send requests to the router.
 * @param configurationVersion The active configuration version, or 0 if there is none.
 * @param members The active configuration versions of the other members, by name.
 * @param keeps The targets that the router coordinates.
 * @param running The number of requests that run through the router.
 * @param waiting The number of requests that wait at the router.
 * @param served The weighted service of each organisation over the fleet, as known to the router,
 *     in units.
 */
public record RouterStatus(
        String router,
        boolean ready,
        long configurationVersion,
        Map<String, Long> members,
        Set<String> keeps,
        int running,
        int waiting,
        Map<String, Double> served) {}
