package org.martenwell.member;

import org.martenwell.message.PeerMessage;

/**
 * State of a router, which it sends to all peers periodically and on change.
 *
 * @param router The router's name.
 * @param incarnation The router's incarnation, which increases with each restart.
 * @param sequence The heartbeat's number, increasing within the incarnation.
 * @param address The address on which the router accepts connections of peers.
 * @param failureDomain The router's failure domain.
 * @param ready {@code true} if the router has a configuration and accepts requests.
 * @param configurationVersion The version of the router's active configuration, 0 if there is none.
 */
public record Heartbeat(
        String router,
        long incarnation,
        long sequence,
        String address,
        String failureDomain,
        boolean ready,
        long configurationVersion)
        implements PeerMessage {}
