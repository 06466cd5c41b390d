package org.martenwell.router;

import java.util.Map;
import java.util.Set;

/**
 * What operators see of a router.
 *
 * @param router The router's name.
 * @param ready {@code true} if the balancer should send requests there.
 * @param configurationVersion The version in force or 0.
 * @param members The versions in force at the other members, by name.
 * @param keeps The targets that it keeps.
 * @param running The requests that run through it.
 * @param waiting The requests that wait at it.
 * @param served The weighted service of the fleet as far as it knows, by organisation, in units.
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
