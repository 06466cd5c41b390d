package org.martenwell.directory;

/**
 * A gateway as it made itself known.
 *
 * @param name The name.
 * @param peerAddress Where it takes peers' connections.
 */
public record GatewayMember(String name, String peerAddress) {}
