package org.martenwell.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings of a router. All addresses are an IP address and a port.
 *
 * @param name The router's name, unique in the fleet.
 * @param failureDomain The failure domain that its box belongs to.
 * @param callerAddress The address that accepts callers' requests.
 * @param operatorAddress The address that accepts operators' requests.
 * @param peerAddress The address that accepts connections of peers.
 * @param platformAddress The address of the platform.
 * @param operatorToken The token that operators need to change the router.
 * @param peerKey The secret key that all peers share.
 * @param seedPeers The addresses of peers to connect to while the platform is unavailable, or empty
 *     for none.
 * @param limits The limits, or empty for the defaults.
 */
public record RouterSettings(
        String name,
        String failureDomain,
        String callerAddress,
        String operatorAddress,
        String peerAddress,
        String platformAddress,
        String operatorToken,
        String peerKey,
        Optional<List<String>> seedPeers,
        Optional<RouterLimits> limits) {

    /** {@return the limits of the settings, or the defaults if there are none} */
    public RouterLimits effectiveLimits() {
        return limits.orElse(RouterLimits.DEFAULTS);
    }
}
