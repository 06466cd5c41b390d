package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.OriginBatches;
import org.martenwell.version.StreamOrigin;

/**
 * Keeps in the directory at which of several versions streams began, for the case that all gateways
 * are lost at once. One gateway of a mesh writes what it and its peers know, in a large fleet each
 * relay what it knows of its failure domain; the others retain the last seconds to take over.
 */
final class StoredOrigins {

    private static final Logger LOGGER = LogManager.getLogger(StoredOrigins.class);

    /** The least interval of writes, in milliseconds. */
    private static final long WRITE_INTERVAL_MILLIS = 500;

    /**
     * The time for which a gateway that doesn't write retains what a lost writer may not have
     * written, in milliseconds.
     */
    private static final long TAKE_OVER_MILLIS = 6_000;

    /** The interval of removals in retention times of streams. */
    private static final int REMOVAL_RETENTIONS = 2;

    private final NioReactor reactor;

    private final KnownOrigins known;

    private final VersionWindow window;

    private OriginStorage storage = new NoOriginStorage();

    private final OriginBatches batches = new OriginBatches(UUID.randomUUID().toString());

    private boolean scheduled;

    private long writtenMillis = Long.MIN_VALUE / 2;

    /** Set while the directory may hold origins. */
    private boolean inUse;

    /** The time of the last removal of old origins, in milliseconds. */
    private long removedMillis;

    /** Set while origins that are needed have not been read. */
    private boolean missing;

    /** The time since which origins are needed, in milliseconds, negative before. */
    private long neededMillis = -1;

    /**
     * Creates an instance that has stored nothing.
     *
     * @param reactor The event loop.
     * @param known The origins that are known here.
     * @param window The versions that were listed of late.
     */
    StoredOrigins(NioReactor reactor, KnownOrigins known, VersionWindow window) {
        this.reactor = reactor;
        this.known = known;
        this.window = window;
    }

    /**
     * Sets the storage; called once before the start.
     *
     * @param originStorage The storage.
     */
    void storage(OriginStorage originStorage) {
        storage = originStorage;
    }

    /**
     * Stores the origins of streams that began at one of several versions. Those of other streams
     * are left out.
     *
     * @param origins The origins.
     * @param mixedServices The services that have several versions.
     */
    void add(List<StreamOrigin> origins, Set<String> mixedServices) {
        for (StreamOrigin each : origins) {
            if (!each.version().isKnown() || mixedServices.contains(each.version().service())) {
                batches.add(each, now());
                use();
            }
        }
        schedule();
    }

    private void use() {
        if (!inUse) {
            inUse = true;
            removedMillis = now();
        }
    }

    /** Schedules the next write, unless there is nothing to write or a call is in progress. */
    private void schedule() {
        if (!scheduled && batches.unstored().isPresent()) {
            scheduled = true;
            long delayMillis = Math.max(0, writtenMillis + WRITE_INTERVAL_MILLIS - now());
            reactor.delayBackground(delayMillis, this::write);
        }
    }

    private void write() {
        writtenMillis = now();
        batches.discardBefore(now() - keptMillis());
        OriginBatch batch = batches.unstored().filter(each -> storage.writes()).orElse(null);
        if (batch == null) {
            scheduled = false;
            schedule();
            return;
        }
        storage.write(batch)
                .whenResult(() -> batches.stored(batch))
                .whenException(
                        exception -> {
                            batches.failed(batch);
                            LOGGER.warn(
                                    LogEvent.of("origins-unwritten")
                                            .with("origins", batch.origins().size())
                                            .with("reason", exception.getMessage())
                                            .message());
                        })
                .whenComplete(
                        () -> {
                            scheduled = false;
                            schedule();
                        });
    }

    private long keptMillis() {
        return storage.writes() ? window.retentionMillis() : TAKE_OVER_MILLIS;
    }

    /** Removes what no stream needs any more; called periodically. */
    void check() {
        long ageMillis = REMOVAL_RETENTIONS * window.retentionMillis();
        if (!inUse || now() - removedMillis < ageMillis) {
            return;
        }
        removedMillis = now();
        if (!storage.removes()) {
            inUse = batches.unstored().isPresent();
            return;
        }
        storage.removeUnchanged(now(), ageMillis)
                .whenResult(left -> inUse = left > 0 || batches.unstored().isPresent());
    }

    /**
     * Reads the origins, if this gateway answers for them.
     *
     * @return A promise that completes when they are known.
     */
    Promise<Void> read() {
        if (!storage.reads()) {
            missing = false;
            return Promise.complete();
        }
        missing = true;
        neededMillis = neededMillis < 0 ? now() : neededMillis;
        use();
        return storage.read().whenResult(this::learn).toVoid();
    }

    private void learn(List<StreamOrigin> origins) {
        missing = false;
        known.learn(origins, false, now());
        LOGGER.info(LogEvent.of("origins-recovered").with("origins", origins.size()).message());
    }

    /** {@return {@code true} if origins that the directory holds are needed and not known} */
    boolean isMissing() {
        return missing && now() - neededMillis < window.retentionMillis();
    }

    private long now() {
        return reactor.currentTimeMillis();
    }
}
