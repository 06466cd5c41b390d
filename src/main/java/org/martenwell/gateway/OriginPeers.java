package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.VersionHistory;

/** The peers and the directory, as sources on the versions at which streams began. */
interface OriginPeers {

    /**
     * Returns the peers that may know a stream.
     *
     * @param scope The peers to consider.
     * @return Their names, with those whose connections still open.
     */
    Set<String> respondents(InquiryScope scope);

    /** {@return {@code true} if the gateways of the fleet are known} */
    boolean fleetKnown();

    /**
     * Asks a peer for the versions at which streams began. Responses arrive by {@link
     * StreamVersions#learn} and {@link StreamVersions#denied}.
     *
     * @param peer The peer's name.
     * @param attempts The keys of the attempts that brought the first events.
     */
    void ask(String peer, List<Long> attempts);

    /** Sends peers the origins that they have not been notified of yet. */
    void sendSoon();

    /**
     * Sends all peers what this gateway knows of the versions that the directory lists.
     *
     * @param history The versions.
     */
    void send(VersionHistory history);

    /**
     * Returns whether this gateway is the one to write a version's record.
     *
     * @param version The version.
     * @return {@code true} if it is, as far as it knows.
     */
    boolean owns(ServiceVersion version);

    /**
     * Writes a version's record.
     *
     * @param version The version.
     * @return A promise that completes when the directory holds it.
     */
    Promise<Void> record(ServiceVersion version);

    /**
     * Removes a version's record.
     *
     * @param version The version.
     * @return A promise that completes when the directory doesn't hold it.
     */
    Promise<Void> removeRecord(ServiceVersion version);

    /** {@return the versions that the directory holds a record of} */
    Promise<Set<ServiceVersion>> readRecords();

    /**
     * {@return the versions of all targets that the directory has ever listed, empty if it doesn't
     * know them any more}
     */
    Promise<Optional<Set<ServiceVersion>>> readHistory();

    /**
     * Notifies peers of versions that the directory holds a record of.
     *
     * @param versions The versions.
     */
    void sendRecorded(List<ServiceVersion> versions);

    /** {@return {@code true} once this gateway has stopped} */
    boolean stopped();

    /** Reads the targets from the directory again. */
    void refreshTargets();

    /**
     * {@return {@code true} if all other gateways have reported recently or have ended, so that
     * none can know of versions that this one doesn't}
     */
    boolean inContact();
}
