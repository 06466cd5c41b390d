package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

/**
 * Records of the versions at which streams may have begun, kept in the directory for the case that
 * all gateways are lost at once. A record is written when a version appears and removed long after
 * it has gone; a gateway reads them only if no peer tells it what was listed before its start.
 * Where there are none, the history of a new directory provides it.
 */
final class VersionRecords {

    private static final Logger LOGGER = LogManager.getLogger(VersionRecords.class);

    /** The interval of checks for records to write, read and remove, in milliseconds. */
    private static final long CHECK_MILLIS = 500;

    /** The time for which a gateway waits for its peers before it reads the records. */
    private static final long READ_AFTER_MILLIS = 2_000;

    /** The time after which a gateway writes a record that another one should have written. */
    private static final long TAKE_OVER_MILLIS = 1_000;

    /** The least interval of reads, in milliseconds. */
    private static final long READ_INTERVAL_MILLIS = 300;

    /** The delay of the second read that no stream needs, in milliseconds; it doubles. */
    private static final long INITIAL_READ_DELAY_MILLIS = 1_000;

    /**
     * The time before the first change of the directory for which nothing was listed, in
     * milliseconds.
     */
    private static final long EVER_MILLIS = 24 * 3_600_000L;

    /**
     * The delay after which the gateway that is to write a record repeats a failed write, in
     * milliseconds.
     */
    private static final long OWN_RETRY_MILLIS = 1_000;

    /** The delay after which any other gateway repeats a failed write, in milliseconds. */
    private static final long OTHER_RETRY_MILLIS = 4_000;

    private final NioReactor reactor;

    private final VersionWindow window;

    private final StoredOrigins origins;

    private OriginPeers peers;

    /** The versions that the directory holds a record of. */
    private final Set<ServiceVersion> recorded = new HashSet<>();

    /** The times at which versions were first seen, in milliseconds. */
    private final Map<ServiceVersion, Long> seenMillis = new HashMap<>();

    /** The times at which the last write of a record failed, in milliseconds. */
    private final Map<ServiceVersion, Long> failedMillis = new HashMap<>();

    /** The times at which recorded versions had gone for as long as the window, in milliseconds. */
    private final Map<ServiceVersion, Long> goneMillis = new HashMap<>();

    /** The versions whose record is being written or removed. */
    private final Set<ServiceVersion> writing = new HashSet<>();

    /** Called when the records tell what was listed. */
    private Runnable listener = () -> {};

    private long startedMillis = -1;

    private long readMillis = Long.MIN_VALUE / 2;

    /** The delay of the next read without a stream that needs it, in milliseconds. */
    private long readDelayMillis = INITIAL_READ_DELAY_MILLIS;

    private boolean reading;

    /** Set once the directory doesn't know any more what it listed first. */
    private boolean historyLost;

    /**
     * Creates an instance that knows no records.
     *
     * @param reactor The event loop.
     * @param window The versions that were listed of late.
     * @param origins The origins of streams in the directory.
     * @param peers The peers and the directory.
     */
    VersionRecords(
            NioReactor reactor, VersionWindow window, StoredOrigins origins, OriginPeers peers) {
        this.reactor = reactor;
        this.window = window;
        this.origins = origins;
        this.peers = peers;
    }

    /**
     * Sets the peers and starts the checks; called once before the start.
     *
     * @param sources The peers and the directory.
     * @param changed Called when the records tell what was listed.
     */
    void start(OriginPeers sources, Runnable changed) {
        peers = sources;
        listener = changed;
        reactor.delayBackground(CHECK_MILLIS, this::checkPeriodically);
    }

    private void checkPeriodically() {
        if (!peers.stopped()) {
            reactor.delayBackground(CHECK_MILLIS, this::checkPeriodically);
            check();
            origins.check();
        }
    }

    /** Writes, reads and removes records as the listed versions require. */
    void check() {
        long now = now();
        Set<ServiceVersion> listed = window.all();
        if (listed.isEmpty()) {
            return;
        }
        startedMillis = startedMillis < 0 ? now : startedMillis;
        listed.forEach(each -> seenMillis.putIfAbsent(each, now));
        seenMillis.keySet().retainAll(listed);
        failedMillis.keySet().retainAll(listed);
        goneMillis.keySet().removeAll(listed);
        if (window.isCovered(now)) {
            listed.forEach(each -> writeIfMissing(each, now));
            recorded.stream()
                    .filter(each -> !listed.contains(each))
                    .toList()
                    .forEach(each -> removeIfGone(each, now));
        }
        boolean needed = now - startedMillis >= READ_AFTER_MILLIS || severalVersions(listed);
        if (needed && !isComplete(now)) {
            readLater(now);
        }
    }

    /** Returns whether nothing in the directory is needed that this gateway doesn't know. */
    private boolean isComplete(long now) {
        return window.isCovered(now) && !origins.isMissing();
    }

    /** Reads the records, less often the longer they don't tell what was listed. */
    private void readLater(long now) {
        if (now - readMillis >= readDelayMillis) {
            readDelayMillis *= 2;
            read();
        }
    }

    private static boolean severalVersions(Set<ServiceVersion> listed) {
        return services(listed).size() < listed.size();
    }

    private static Set<String> services(Collection<ServiceVersion> versions) {
        return versions.stream().map(ServiceVersion::service).collect(Collectors.toSet());
    }

    private void writeIfMissing(ServiceVersion version, long now) {
        boolean owned = peers.owns(version);
        boolean due = owned || now - seenMillis.get(version) >= TAKE_OVER_MILLIS;
        long retryMillis = owned ? OWN_RETRY_MILLIS : OTHER_RETRY_MILLIS;
        boolean failed = now - failedMillis.getOrDefault(version, now - retryMillis) < retryMillis;
        if (due && !failed && !recorded.contains(version) && writing.add(version)) {
            peers.record(version)
                    .whenResult(
                            () -> {
                                recorded.add(version);
                                peers.sendRecorded(List.of(version));
                            })
                    .whenException(exception -> failedMillis.put(version, now()))
                    .whenComplete(() -> writing.remove(version));
        }
    }

    /** Removes a record once all gateways must have noticed that its version has gone. */
    private void removeIfGone(ServiceVersion version, long now) {
        long since = goneMillis.computeIfAbsent(version, each -> now);
        if (now - since < 2 * window.retentionMillis()) {
            return;
        }
        if (!peers.owns(version)) {
            recorded.remove(version);
            goneMillis.remove(version);
        } else if (writing.add(version)) {
            peers.removeRecord(version)
                    .whenResult(
                            () -> {
                                recorded.remove(version);
                                goneMillis.remove(version);
                            })
                    .whenComplete(() -> writing.remove(version));
        }
    }

    /** Reads the records, unless this gateway knows what was listed and where streams began. */
    void read() {
        if (reading || isComplete(now()) || now() - readMillis < READ_INTERVAL_MILLIS) {
            return;
        }
        reading = true;
        readMillis = now();
        peers.readRecords()
                .whenResult(this::apply)
                .then(found -> readHistory())
                .then(ignored -> readOrigins())
                .whenComplete(
                        () -> {
                            reading = false;
                            listener.run();
                        });
    }

    /** {@return {@code true} while records and origins are read} */
    boolean isReading() {
        return reading;
    }

    /**
     * {@return {@code true} while the directory may hold origins that this gateway doesn't know, so
     * that it can't say that a stream is unknown}
     */
    boolean isIncomplete() {
        return reading || origins.isMissing();
    }

    /**
     * Takes the records for what was listed, if there is one of each service. Fleets that have not
     * written any yet have no records of versions that have gone.
     */
    private void apply(Set<ServiceVersion> found) {
        recorded.addAll(found);
        if (services(found).containsAll(services(window.all())) && !window.all().isEmpty()) {
            learn("records", 2 * window.retentionMillis(), found);
        }
    }

    /** Reads what was ever listed if the records don't cover what was listed of late. */
    private Promise<Void> readHistory() {
        if (historyLost || window.isCovered(now())) {
            return Promise.complete();
        }
        return peers.readHistory().whenResult(this::applyHistory).toVoid();
    }

    /** Reads at which versions streams began if there were several. */
    private Promise<Void> readOrigins() {
        return severalVersions(window.all()) ? origins.read() : Promise.complete();
    }

    private void applyHistory(Optional<Set<ServiceVersion>> found) {
        historyLost = found.isEmpty();
        found.filter(each -> !each.isEmpty())
                .ifPresent(each -> learn("history", EVER_MILLIS, each));
    }

    /**
     * Takes versions for those that were listed before this gateway's start. It isn't known when
     * they were, so they may be as recent as the start.
     */
    private void learn(String source, long coveredMillis, Set<ServiceVersion> versions) {
        List<VersionSighting> sightings =
                versions.stream().map(each -> new VersionSighting(each, 0)).toList();
        window.learn(new VersionHistory(coveredMillis, sightings), now());
        LOGGER.info(
                LogEvent.of("versions-recovered")
                        .with("source", source)
                        .with("versions", versions.size())
                        .with("listed", window.all().size())
                        .message());
    }

    /**
     * Applies which versions a peer knows to be recorded.
     *
     * @param versions The versions.
     */
    void learn(List<ServiceVersion> versions) {
        recorded.addAll(versions);
    }

    /** {@return the versions that are known to be recorded} */
    List<ServiceVersion> recorded() {
        return List.copyOf(recorded);
    }

    /**
     * Returns whether no stream should begin at a version yet. It has no record, and others of the
     * service have one, so that they would be taken for the only ones if all gateways were lost and
     * the version was not listed any more.
     *
     * @param version The version.
     * @return {@code true} if streams should begin at others, if there are any.
     */
    boolean isHeld(ServiceVersion version) {
        return !recorded.contains(version) && services(recorded).contains(version.service());
    }

    private long now() {
        return reactor.currentTimeMillis();
    }
}
