package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Distinguishes gateways that have joined but are not listed yet from those that have left and
 * still report. Only the former require that the directory is read again.
 */
final class UnlistedPeers {

    /** The last listed incarnation by gateway. */
    private final Map<String, Long> listed = new HashMap<>();

    /** Creates a tracker without any gateway. */
    UnlistedPeers() {}

    /**
     * Processes the sender of a report.
     *
     * @param gateway The name of the gateway.
     * @param incarnation The gateway's incarnation.
     * @param isListed {@code true} if the directory lists a gateway of that name.
     * @return {@code true} if the gateway has joined since the directory was read.
     */
    boolean joined(String gateway, long incarnation, boolean isListed) {
        if (isListed) {
            listed.put(gateway, incarnation);
            return false;
        }
        return !Long.valueOf(incarnation).equals(listed.get(gateway));
    }
}
