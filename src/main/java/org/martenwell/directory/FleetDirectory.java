package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.service.ManagedService;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

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

    /**
     * Stores the versions at which streams began, so that gateways that start without any peer know
     * them.
     *
     * @param batch The origins.
     * @return A promise that completes when all of them are stored.
     */
    Promise<Void> storeOrigins(OriginBatch batch);

    /** {@return the origins of streams that are stored} */
    Promise<List<StreamOrigin>> storedOrigins();

    /**
     * Removes the batches of origins that have not changed since an earlier call of this method.
     *
     * @param now The current time, in milliseconds.
     * @param ageMillis The time that must have passed since that call, in milliseconds.
     * @return A promise of the number of batches that are left.
     */
    Promise<Integer> removeUnchangedOrigins(long now, long ageMillis);

    /** Removes this gateway's entry before it shuts down. */
    void leave();
}
