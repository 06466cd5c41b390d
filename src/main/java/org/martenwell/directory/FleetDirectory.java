package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.Optional;
import java.util.Set;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.service.ManagedService;
import org.martenwell.version.ServiceVersion;

/**
 * Source of the configuration, the targets and the gateways of a fleet. Changes are reported to a
 * {@link DirectoryListener}.
 */
public interface FleetDirectory extends ManagedService {

    /**
     * Applies a configuration that a peer forwarded, if it is newer than the active one.
     *
     * @param document The configuration as JSON.
     * @param peer The peer's name.
     */
    void applyForwardedConfiguration(String document, String peer);

    /** {@return the time since the directory last answered a call, in milliseconds} */
    long answerAgeMillis();

    /** Lists the targets immediately; called when a peer has newer information on them. */
    void refresh();

    /** Lists the gateways soon; called when an unknown gateway sends a report. */
    void refreshMembers();

    /**
     * Removes the entry of another gateway that is no longer running. The entry stays if the
     * gateway has joined again in the meantime.
     *
     * @param name The gateway's name.
     */
    void removeMember(String name);

    /**
     * Stores a quarantined request, so that gateways that start later know it. A failed write is
     * retried until it succeeds.
     *
     * @param request The request.
     */
    void quarantine(QuarantinedRequest request);

    /**
     * Removes a quarantined request after it was served successfully.
     *
     * @param fingerprint The request's fingerprint.
     */
    void release(Fingerprint fingerprint);

    /**
     * Writes the record of a version of targets, so that gateways that start without any peer know
     * that it was listed. A record that exists is kept.
     *
     * @param version The version.
     * @return A promise that completes when the record exists.
     */
    Promise<Void> recordVersion(ServiceVersion version);

    /**
     * Removes the record of a version.
     *
     * @param version The version.
     * @return A promise that completes when no record exists.
     */
    Promise<Void> removeVersion(ServiceVersion version);

    /** {@return the versions of which a record exists} */
    Promise<Set<ServiceVersion>> recordedVersions();

    /**
     * Reads the versions of all targets that the directory has ever listed.
     *
     * @return A promise of the versions, empty if the directory doesn't know them any more.
     */
    Promise<Optional<Set<ServiceVersion>>> versionsEverListed();

    /** Removes this gateway's entry before it shuts down. */
    void leave();
}
