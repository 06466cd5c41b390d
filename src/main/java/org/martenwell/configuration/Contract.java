package org.martenwell.configuration;

/**
 * The terms under which organisations use the fleet.
 *
 * @param name The contract's name.
 * @param policy The name of the policy that admits requests.
 * @param weight The share of service relative to other organisations; the default is 1.
 * @param maxConcurrent The most requests that run at once over the whole fleet.
 * @param requestsPerSecond The most requests a second at each router.
 * @param burst The most requests at once beyond the rate at each router.
 * @param maxWaiting The most requests that wait at each router.
 * @param maxWaitMillis The longest that a request may wait for a slot, in milliseconds.
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
