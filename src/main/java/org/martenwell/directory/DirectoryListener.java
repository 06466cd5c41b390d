package org.martenwell.directory;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.route.GatewayConfiguration;

/** Receives the contents of a {@link FleetDirectory} and their changes. */
public interface DirectoryListener {

    /**
     * Called when the directory or a peer provides a configuration newer than every earlier one.
     *
     * @param configuration The parsed configuration.
     * @param document The JSON document it was parsed from, to be forwarded to peers.
     * @param peer The peer that forwarded it, empty if the directory provided it.
     */
    void configurationChanged(
            GatewayConfiguration configuration, String document, Optional<String> peer);

    /**
     * Called once per version of an entry, or of a part of the configuration, that can't be used.
     * It is ignored; all others are unaffected.
     *
     * @param name The entry's name, or that of the configuration with the JSON Pointer of the part.
     * @param reason A description of the error, for the log.
     */
    void entryUnreadable(String name, String reason);

    /**
     * Called when the set of targets or one of them has changed.
     *
     * @param targets All current targets by id.
     * @param asOfMillis The time on the event loop's clock as of which the targets are current, in
     *     milliseconds; later changes may be missing.
     */
    void targetsChanged(Map<String, DirectoryTarget> targets, long asOfMillis);

    /**
     * Called before the first targets are reported and when the set of evacuated failure domains
     * may have changed.
     *
     * @param failureDomains The names of the failure domains whose targets must get no requests.
     */
    void evacuationsChanged(Set<String> failureDomains);

    /**
     * Called when the set of gateways or one of them has changed.
     *
     * @param members All current gateways by name, including this one.
     */
    void membersChanged(Map<String, GatewayMember> members);

    /**
     * Called when the set of quarantined requests has changed.
     *
     * @param requests All quarantined requests by fingerprint.
     */
    void quarantinedRequestsChanged(Map<Fingerprint, QuarantinedRequest> requests);
}
