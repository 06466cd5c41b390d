package org.martenwell.gateway;

import java.util.Set;

/** The gateways that are asked for the version of a stream. */
enum InquiryScope {

    /** All gateways that this one is connected to. */
    FLEET {
        @Override
        Set<String> peers(ReportTopology topology, long now) {
            return topology.requiredPeers(now);
        }
    },

    /** The other gateways of this one's failure domain, which its relay asks for other relays. */
    DOMAIN {
        @Override
        Set<String> peers(ReportTopology topology, long now) {
            return topology.domainPeers();
        }
    };

    /**
     * Returns the gateways.
     *
     * @param topology The routes between gateways.
     * @param now The current time, in milliseconds.
     * @return Their names.
     */
    abstract Set<String> peers(ReportTopology topology, long now);
}
