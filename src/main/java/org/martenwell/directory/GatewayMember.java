package org.martenwell.directory;

/**
 * A gateway as it made itself known.
 *
 * @param name The name.
 * @param failureDomain The failure domain.
 * @param peerAddress Where it takes peers' connections.
 * @param processors How much processor time it has, in processors of common speed.
 */
public record GatewayMember(
        String name, String failureDomain, String peerAddress, double processors) {}
