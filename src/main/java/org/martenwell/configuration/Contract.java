package org.martenwell.configuration;

/**
 * The scheduling weight, limits and policy of an organisation; several organisations may share one.
 *
 * @param name The contract's name.
 * @param policy The name of the policy that admits requests.
 * @param weight The share of service relative to other organisations; 1 by default.
 * @param maxConcurrent The limit on running requests in the whole fleet.
 * @param requestsPerSecond The request rate that each router admits.
 * @param burst The number of requests beyond the rate that each router admits at once.
 * @param maxWaiting The limit on waiting requests at each router.
 * @param maxWaitMillis The longest wait of a request for a slot, in milliseconds.
 */
public record Contract(
        String name,
        String policy,
        double weight,
        int maxConcurrent,
        double requestsPerSecond,
        int burst,
        int maxWaiting,
        long maxWaitMillis) {}
