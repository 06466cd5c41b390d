package org.martenwell.objects;

/**
 * Entry of the platform's box list, which may be outdated.
 *
 * @param name The name of the router or target that runs on the box.
 * @param role The kind of process that runs on the box.
 * @param address The peer address of a router, or the address of a target.
 * @param failureDomain The failure domain.
 * @param state The state of the box.
 */
public record Box(
        String name, BoxRole role, String address, String failureDomain, BoxState state) {}
