package org.martenwell.directory;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.Quarantine;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.service.ManagedService;

/** Stores quarantined requests and reports those that other gateways have stored. */
final class QuarantinedRequestStore implements ManagedService {

    private static final Logger LOGGER = LogManager.getLogger(QuarantinedRequestStore.class);

    /** The delay before a failed write is retried, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private final NioReactor reactor;

    private final ObjectStore store;

    private final String kind;

    private final DirectoryListener listener;

    /** The wall clock, by which quarantines expire. */
    private final Clock clock;

    private final KindPoller poller;

    private final UnreadableEntries unreadable;

    /** The requests whose write has not succeeded yet. */
    private final Set<Fingerprint> unwritten = new HashSet<>();

    private boolean stopped;

    /**
     * Creates an instance that is not started.
     *
     * @param reactor The event loop.
     * @param store The store.
     * @param kind The kind of quarantined-request objects.
     * @param random The source of jitter for listings.
     * @param listener Receives the quarantined requests.
     * @param clock The wall clock.
     */
    QuarantinedRequestStore(
            NioReactor reactor,
            ObjectStore store,
            String kind,
            Random random,
            DirectoryListener listener,
            Clock clock) {
        this.reactor = reactor;
        this.store = store;
        this.kind = kind;
        this.listener = listener;
        this.unreadable = new UnreadableEntries(listener);
        this.clock = clock;
        this.poller =
                new KindPoller(
                        new KindSource(reactor, store, kind, random),
                        PollInterval.QUARANTINED_REQUESTS,
                        this::apply);
    }

    @Override
    public Promise<Void> start() {
        return poller.start();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return poller.stop();
    }

    /**
     * Stores a request, unless an object of its fingerprint exists. A failed write is retried until
     * it succeeds, the request is released or this service stops.
     *
     * @param request The request.
     */
    void quarantine(QuarantinedRequest request) {
        if (unwritten.add(request.fingerprint())) {
            write(request);
        }
    }

    /**
     * Removes a request and cancels pending retries of its write.
     *
     * @param fingerprint The request's fingerprint.
     */
    void release(Fingerprint fingerprint) {
        unwritten.remove(fingerprint);
        remove(fingerprint.toString(), Optional.empty());
    }

    private void write(QuarantinedRequest request) {
        if (stopped || !unwritten.contains(request.fingerprint())) {
            return;
        }
        store.create(kind, request.fingerprint().toString(), QuarantinedRequestJson.write(request))
                .whenResult(() -> unwritten.remove(request.fingerprint()))
                .whenException(
                        failure -> {
                            logFailure("held-request-unwritten", request.fingerprint(), failure);
                            reactor.delayBackground(RETRY_MILLIS, () -> write(request));
                        });
    }

    /**
     * Removes a request's object. A failure is logged and not retried.
     *
     * @param name The object's name.
     * @param revision The revision that the object must still have, or empty to remove any
     *     revision.
     */
    private void remove(String name, Optional<Long> revision) {
        store.remove(kind, name, revision)
                .whenException(failure -> logFailure("held-request-unremoved", name, failure));
    }

    /**
     * Reports the listed requests to the listener. Objects whose quarantine has expired are
     * removed; malformed objects are reported and ignored.
     *
     * @param entries The listed objects by name.
     */
    private void apply(Map<String, StoredEntry> entries) {
        long expiredBefore = clock.millis() - Quarantine.QUARANTINE_MILLIS;
        Map<Fingerprint, QuarantinedRequest> quarantined = new HashMap<>();
        for (StoredEntry each : entries.values()) {
            Optional<QuarantinedRequest> request = QuarantinedRequestJson.read(each);
            if (request.isEmpty()) {
                unreadable.report(each, "The object is not a valid quarantined request.");
            } else if (request.get().sinceMillis() < expiredBefore) {
                remove(each.name(), Optional.of(each.revision()));
            } else {
                quarantined.put(request.get().fingerprint(), request.get());
            }
        }
        unreadable.retain(entries.keySet());
        listener.quarantinedRequestsChanged(quarantined);
    }

    private static void logFailure(String event, Object name, Exception failure) {
        LOGGER.warn(
                LogEvent.of(event)
                        .with("fingerprint", name)
                        .with("reason", failure.toString())
                        .message());
    }
}
