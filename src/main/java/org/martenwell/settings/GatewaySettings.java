package org.martenwell.settings;

import java.util.Optional;
import java.util.Set;

/**
 * The settings of a gateway. All addresses are an IP address and a port.
 *
 * @param name The gateway's name, unique in the fleet.
 * @param failureDomain The failure domain that its box belongs to.
 * @param deployment The name of the deployment that it runs on.
 * @param callerAddress The address that accepts callers' requests.
 * @param readinessAddress The address at which the load balancer checks its readiness.
 * @param peerAddress The address that accepts connections of peers.
 * @param directoryAddress The address of the directory.
 * @param peerKey The secret key that all peers share.
 * @param metricsAddress The address that serves metrics, or empty to serve none.
 * @param processor The processor time that it may use, or empty if unknown.
 * @param stopSeconds The time limit of a graceful stop, in seconds.
 * @param retryShare The retry budget of the fleet as a share of its requests, from 0 to 1.
 * @param retryAllowance The number of retries in a window beyond that share.
 * @param retryWindowSeconds The window of the retry budget, in seconds.
 * @param shareWindowSeconds The window in which fair shares are measured, in seconds.
 * @param features The optional behaviour that is enabled, or empty for none.
 */
public record GatewaySettings(
        String name,
        String failureDomain,
        String deployment,
        String callerAddress,
        String readinessAddress,
        String peerAddress,
        String directoryAddress,
        String peerKey,
        Optional<String> metricsAddress,
        Optional<ProcessorSettings> processor,
        double stopSeconds,
        double retryShare,
        double retryAllowance,
        double retryWindowSeconds,
        double shareWindowSeconds,
        Optional<Set<GatewayFeature>> features) {

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns whether an optional behaviour is enabled.
     *
     * @param feature The behaviour.
     * @return {@code true} if the settings name it.
     */
    public boolean enables(GatewayFeature feature) {
        return features.isPresent() && features.get().contains(feature);
    }

    /** {@return the time limit of a graceful stop, in milliseconds} */
    public long stopMillis() {
        return Math.round(stopSeconds * MILLIS_PER_SECOND);
    }

    /** {@return the window of the retry budget, in milliseconds} */
    public long retryWindowMillis() {
        return Math.round(retryWindowSeconds * MILLIS_PER_SECOND);
    }

    /** {@return the window in which fair shares are measured, in milliseconds} */
    public long shareWindowMillis() {
        return Math.round(shareWindowSeconds * MILLIS_PER_SECOND);
    }
}
