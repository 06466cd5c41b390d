package org.martenwell.settings;

import java.util.Optional;

/**
 * The settings of a gateway.
 *
 * @param name The gateway's name, unique in the fleet.
 * @param failureDomain The failure domain that its box stands in.
 * @param deployment The name of the deployment that it runs on.
 * @param callerAddress Where it takes callers' requests.
 * @param readinessAddress Where the balancer asks whether it is ready.
 * @param peerAddress Where it takes peers' connections.
 * @param directoryAddress Where the directory is.
 * @param peerKey The key that peers share.
 * @param metricsAddress Where it tells its metrics, if anywhere.
 * @param processor The processor time that it may use, if it is known.
 * @param stopSeconds Within which time a stopping gateway ends, in seconds.
 * @param retryShare How many retries the fleet may make for each request.
 * @param retryAllowance How many retries the fleet may make besides in a window.
 * @param retryWindowSeconds The window, in seconds.
 * @param shareWindowSeconds Over how long fair shares are counted, in seconds.
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
        double shareWindowSeconds) {

    /** How many milliseconds a second has. */
    private static final double SECOND_MILLIS = 1_000;

    /**
     * Returns within which time a stopping gateway ends.
     *
     * @return The time in milliseconds.
     */
    public long stopMillis() {
        return Math.round(stopSeconds * SECOND_MILLIS);
    }

    /**
     * Returns the window in which retries are counted.
     *
     * @return The window in milliseconds.
     */
    public long retryWindowMillis() {
        return Math.round(retryWindowSeconds * SECOND_MILLIS);
    }

    /**
     * Returns over how long fair shares are counted.
     *
     * @return The window in milliseconds.
     */
    public long shareWindowMillis() {
        return Math.round(shareWindowSeconds * SECOND_MILLIS);
    }
}
