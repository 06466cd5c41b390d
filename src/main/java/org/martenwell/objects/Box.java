package org.martenwell.objects;

/**
 * One entry of the platform's list of boxes, which lags.
 *
 * @param name The name of the router or target that runs there.
 * @param role What runs there.
 * @param address The address for peers if a router runs there, else the target's address.
 * @param failureDomain The failure domain.
 * @param state Whether it works or is about to go.
 */
public record Box(
        String name, BoxRole role, String address, String failureDomain, BoxState state) {}
