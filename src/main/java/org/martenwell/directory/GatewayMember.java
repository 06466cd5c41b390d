package org.martenwell.directory;

/**
 * Gateway as described by its own entry in the directory.
 *
 * @param name The unique name.
 * @param failureDomain The failure domain; empty if unknown.
 * @param peerAddress The address that accepts connections from peers.
 * @param processors The available processor time, as a number of processors of standard speed; 0 if
 *     unknown.
 */
public record GatewayMember(
        String name, String failureDomain, String peerAddress, double processors) {}
