package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells gateways that have joined and are not listed yet from those that have left and still
 * report. Only the first are a reason to list gateways again.
 */
final class UnlistedPeers {

    /** The incarnations of gateways that were listed, by name. */
    private final Map<String, Long> listed = new HashMap<>();

    /** Creates a set that has heard of nobody. */
    UnlistedPeers() {}

    /**
     * Notes a report.
     *
     * @param gateway The name of its gateway.
     * @param incarnation The gateway's incarnation.
     * @param isListed Whether the directory lists a gateway of that name.
     * @return {@code true} if the gateway has joined since the last list.
     */
    boolean joined(String gateway, long incarnation, boolean isListed) {
        if (isListed) {
            listed.put(gateway, incarnation);
            return false;
        }
        return !Long.valueOf(incarnation).equals(listed.get(gateway));
    }
}
