package org.martenwell.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings of a router.
 *
 * @param name The router's name, unique in the fleet.
 * @param failureDomain The failure domain that its box stands in.
 * @param callerAddress Where it takes callers' requests.
 * @param operatorAddress Where it takes operators' requests.
 * @param peerAddress Where it takes peers' connections.
 * @param platformAddress The platform's address.
 * @param operatorToken The token that operators' changes need.
 * @param peerKey The key that peers share.
 * @param seedPeers Addresses of peers to ask while the platform does not answer.
 * @param limits The limits.
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

    /**
     * Returns the limits in force.
     *
     * @return The limits, with defaults for what is absent.
     */
    public RouterLimits effectiveLimits() {
        return limits.orElse(RouterLimits.DEFAULTS);
    }
}
