package org.martenwell.message;

/**
 * Message between peers, which are the routers or the gateways of a fleet. Every implementation
 * needs a type in {@code org.martenwell.peer.MessageType}, which defines its encoding.
 */
public interface PeerMessage {}
