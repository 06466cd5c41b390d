package org.martenwell.member;

import org.martenwell.message.PeerMessage;

/**
 * What a router tells all peers of itself, now and then and on change.
 *
 * @param router The router's name.
 * @param incarnation The router's incarnation, greater after each restart.
 * @param sequence The heartbeat's number within the incarnation.
 * @param address Where the router takes peers' connections.
 * @param failureDomain The router's failure domain.
 * @param ready {@code true} if the router has a configuration and takes requests.
 * @param configurationVersion The version of the configuration in force there or 0.
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
