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
import org.martenwell.quarantine.HeldRequest;
import org.martenwell.quarantine.Quarantine;
import org.martenwell.service.ManagedService;

/** Keeps the requests that are held back in a store and follows them there. */
final class HeldRequestStore implements ManagedService {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(HeldRequestStore.class);

    /** How long after a failure a request is written again, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The loop. */
    private final NioReactor reactor;

    /** The store. */
    private final ObjectStore store;

    /** The kind of the objects. */
    private final String kind;

    /** Is told of the requests. */
    private final DirectoryListener listener;

    /** The time of day, by which requests are no longer held back. */
    private final Clock clock;

    /** Lists the requests. */
    private final KindPoller poller;

    /** The requests that the store does not have yet. */
    private final Set<Fingerprint> unwritten = new HashSet<>();

    /** Whether nothing is written any more. */
    private boolean stopped;

    /**
     * Creates what keeps requests.
     *
     * @param reactor The loop.
     * @param store The store.
     * @param kind The kind of the objects.
     * @param random Spreads lists.
     * @param listener Is told of the requests.
     * @param clock The time of day.
     */
    HeldRequestStore(
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
        this.clock = clock;
        this.poller =
                new KindPoller(
                        new KindSource(reactor, store, kind, random),
                        PollInterval.HELD_REQUESTS,
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
     * Keeps a request, unless the store has it already. Tried again until the store has it.
     *
     * @param request The request.
     */
    void hold(HeldRequest request) {
        if (unwritten.add(request.fingerprint())) {
            write(request);
        }
    }

    /**
     * Keeps a request no longer.
     *
     * @param fingerprint The request.
     */
    void release(Fingerprint fingerprint) {
        unwritten.remove(fingerprint);
        remove(fingerprint.toString(), Optional.empty());
    }

    /**
     * Writes a request.
     *
     * @param request The request.
     */
    private void write(HeldRequest request) {
        if (stopped || !unwritten.contains(request.fingerprint())) {
            return;
        }
        store.create(kind, request.fingerprint().toString(), HeldRequestJson.write(request))
                .whenResult(() -> unwritten.remove(request.fingerprint()))
                .whenException(
                        failure -> {
                            logFailure("held-request-unwritten", request.fingerprint(), failure);
                            reactor.delayBackground(RETRY_MILLIS, () -> write(request));
                        });
    }

    /**
     * Removes a request's object.
     *
     * @param name The object's name.
     * @param revision The revision at which it must still be, or empty if any will do.
     */
    private void remove(String name, Optional<Long> revision) {
        store.remove(kind, name, revision)
                .whenException(failure -> logFailure("held-request-unremoved", name, failure));
    }

    /**
     * Takes in all requests. One that was held back long enough is removed; one that can't be read
     * is passed over.
     *
     * @param entries Their objects.
     */
    private void apply(Map<String, StoredEntry> entries) {
        long expiredBefore = clock.millis() - Quarantine.HELD_MILLIS;
        Map<Fingerprint, HeldRequest> held = new HashMap<>();
        for (StoredEntry each : entries.values()) {
            Optional<HeldRequest> request = HeldRequestJson.read(each);
            if (request.isEmpty()) {
                listener.unreadable(each.name(), "It is no request that is held back.");
            } else if (request.get().sinceMillis() < expiredBefore) {
                remove(each.name(), Optional.of(each.revision()));
            } else {
                held.put(request.get().fingerprint(), request.get());
            }
        }
        listener.heldRequests(held);
    }

    /**
     * Logs a call that failed.
     *
     * @param event What was not done.
     * @param name The request.
     * @param failure Why.
     */
    private static void logFailure(String event, Object name, Exception failure) {
        LOGGER.warn(
                LogEvent.of(event)
                        .with("fingerprint", name)
                        .with("reason", failure.toString())
                        .message());
    }
}
