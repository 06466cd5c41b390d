package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.FailureBarrier;
import org.martenwell.service.ManagedService;

/**
 * Keeps a copy of all objects of one kind: lists them, then watches for changes. Lists them again
 * after a watch has failed or the store has lost its history; resuming the watch instead could miss
 * changes, because a store that loses its history may have skipped some while its revision
 * advanced.
 *
 * <p>A watch that the store never received looks like one without changes. So each watch is
 * followed by a ping, and given up if the ping gets no response. A watch whose response was lost
 * looks the same; see {@link LostResponseCheck}.
 *
 * <p>While the store is unavailable, the last known objects stay in use. Objects that are missing
 * afterwards are retained for a grace period; see {@link RetainedEntries}.
 */
final class KindWatcher implements ManagedService {

    private static final Logger LOGGER = LogManager.getLogger(KindWatcher.class);

    /** The first delay before a retry, in milliseconds. */
    private static final long INITIAL_DELAY_MILLIS = 40;

    /**
     * The maximum mean delay before a retry, in milliseconds. Delays are at most 1.5 times the
     * mean, and a connection attempt takes up to 400 ms, so two failed attempts in a row fit into
     * the 3 s within which a gateway must catch up after an outage.
     */
    private static final long MAX_DELAY_MILLIS = 600;

    /**
     * The time for which missing entries are retained after the first successful list, in
     * milliseconds. Owners register again within about 2 s of the store's recovery.
     */
    private static final long RETENTION_MILLIS = 1_800;

    /**
     * The maximum time for which missing entries are retained after the last failed list began, in
     * milliseconds. A gateway must have caught up within 3 s of the store's recovery.
     */
    private static final long MAX_CATCH_UP_MILLIS = 2_800;

    /**
     * The delay between a watch and its ping, in milliseconds. The watch opens a connection first,
     * and the store must be known to answer behind its arrival.
     */
    private static final long PING_DELAY_MILLIS = 100;

    private final KindSource source;

    private final Supplier<WatchTiming> timing;

    /** Returns the group of an object, such as a target's service. */
    private final Function<StoredEntry, String> group;

    /** Receives all objects after each change. */
    private final Consumer<Map<String, StoredEntry>> listener;

    private Map<String, StoredEntry> entries = new HashMap<>();

    /** The objects that were missing after the last outage and are still reported. */
    private RetainedEntries retained = RetainedEntries.NONE;

    private final StoreAvailability availability;

    private final StoreRetries retries;

    /** The time at which the call that provided the objects started, in milliseconds. */
    private long asOfMillis = Long.MIN_VALUE;

    /** The revision to watch from. */
    private long revision;

    /** Set if the next call must be a list rather than a watch. */
    private boolean listDue = true;

    private long delayMillis = INITIAL_DELAY_MILLIS;

    /** Incremented on each restart; results of calls from earlier generations are ignored. */
    private int generation;

    /** The number of watches so far, by which a ping recognises its own. */
    private int watchCount;

    /** Set while a watch awaits its answer. */
    private boolean watching;

    /**
     * Creates a watcher that is not started.
     *
     * @param source The source of the objects.
     * @param retries The retries of all watchers of the store.
     * @param timing Returns the current timing of watches.
     * @param group Returns the group of an object, such as a target's service; retention is decided
     *     per group.
     * @param listener Receives all objects by name after each change.
     */
    KindWatcher(
            KindSource source,
            StoreRetries retries,
            Supplier<WatchTiming> timing,
            Function<StoredEntry, String> group,
            Consumer<Map<String, StoredEntry>> listener) {
        this.source = source;
        this.retries = retries;
        this.availability = new StoreAvailability(source);
        this.timing = timing;
        this.group = group;
        this.listener = listener;
    }

    @Override
    public Promise<Void> start() {
        makeNextCall(generation);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        generation++;
        return Promise.complete();
    }

    /** Lists all objects immediately, abandoning any call in progress. */
    public void refresh() {
        generation++;
        watching = false;
        listDue = true;
        makeNextCall(generation);
    }

    /**
     * Applies a list that was made while a watch was pending, if it has changes of which the watch
     * has not reported. Its response is lost or in transit.
     *
     * @param listing All objects.
     * @param startedMillis The time at which the list was requested, in milliseconds.
     */
    void applyIfNewer(KindListing listing, long startedMillis) {
        if (!watching
                || listing.revision() < revision
                || revisions(listing.entries()).equals(revisions(entries))) {
            return;
        }
        LOGGER.info(LogEvent.of("watch-overtaken").with("kind", source.kind()).message());
        generation++;
        watching = false;
        asOfMillis = startedMillis;
        process(generation, () -> applyListing(generation, listing));
    }

    /**
     * Gives up a pending watch, since the store did not respond to another call.
     *
     * @param failure The failure of that call.
     */
    void checkFailed(Exception failure) {
        if (watching) {
            availability.watchFailed(failure);
            refresh();
        }
    }

    private static Map<String, Long> revisions(Map<String, StoredEntry> all) {
        return all.values().stream()
                .collect(Collectors.toMap(StoredEntry::name, StoredEntry::revision));
    }

    /**
     * {@return the time on the event loop's clock as of which the objects are current, in
     * milliseconds}
     */
    long asOfMillis() {
        return asOfMillis;
    }

    /** {@return the time since the store last answered a call, in milliseconds} */
    long answerAgeMillis() {
        return availability.responseAgeMillis();
    }

    private void makeNextCall(int callGeneration) {
        if (callGeneration != generation) {
            return;
        }
        if (listDue) {
            list(callGeneration);
        } else {
            watch(callGeneration);
        }
    }

    private void list(int callGeneration) {
        long startedMillis = source.now();
        source.list(Freshness.CURRENT)
                .subscribe(
                        (listing, failure) -> {
                            if (callGeneration != generation) {
                                return;
                            }
                            if (failure != null) {
                                availability.listFailed(startedMillis, failure);
                                retries.listFailed(source.kind(), startedMillis, failure);
                                retryLater(callGeneration);
                            } else {
                                asOfMillis = startedMillis;
                                process(
                                        callGeneration,
                                        () -> applyListing(callGeneration, listing));
                            }
                        });
    }

    /**
     * Processes a response. If that fails, as the listener may, all objects are listed again, so
     * that the listener receives them once more.
     *
     * @param callGeneration The generation of the call.
     * @param step Applies the response and makes or schedules the next call.
     */
    private void process(int callGeneration, Runnable step) {
        FailureBarrier.run(
                source.kind() + " watcher",
                step,
                () -> {
                    if (callGeneration == generation) {
                        recover();
                    }
                });
    }

    private void recover() {
        int next = ++generation;
        watching = false;
        listDue = true;
        source.delayWithJitter(MAX_DELAY_MILLIS, () -> makeNextCall(next));
    }

    private void applyListing(int callGeneration, KindListing listing) {
        delayMillis = INITIAL_DELAY_MILLIS;
        listDue = false;
        if (availability.unavailable()) {
            retainMissing(listing.entries());
        }
        availability.responded();
        retries.responded(source.kind());
        entries = listing.entries();
        revision = listing.revision();
        notifyListener();
        makeNextCall(callGeneration);
    }

    /**
     * Retains objects that are missing in the first list after an outage.
     *
     * @param listed The objects that the store holds now, by name.
     */
    private void retainMissing(Map<String, StoredEntry> listed) {
        long now = source.now();
        Map<String, StoredEntry> before = retained.mergedInto(entries, now);
        long until =
                Math.min(
                        now + RETENTION_MILLIS,
                        availability.lastFailedListMillis() + MAX_CATCH_UP_MILLIS);
        retained = RetainedEntries.of(before, listed, group, until);
        LOGGER.info(
                LogEvent.of("store-regained")
                        .with("kind", source.kind())
                        .with("awayMillis", availability.unavailableMillis())
                        .with("listed", listed.size())
                        .with("kept", retained.names())
                        .message());
        if (!retained.isEmpty()) {
            source.delay(Math.max(0, until - now), this::notifyListener);
        }
    }

    private void notifyListener() {
        listener.accept(retained.mergedInto(entries, source.now()));
    }

    private void watch(int callGeneration) {
        long startedMillis = source.now();
        int watch = ++watchCount;
        watching = true;
        source.delay(PING_DELAY_MILLIS, () -> confirm(callGeneration, watch));
        source.watch(revision, timing.get().waitMillis())
                .subscribe(
                        (changes, failure) -> {
                            if (callGeneration != generation) {
                                return;
                            }
                            watching = false;
                            if (failure != null) {
                                availability.watchFailed(failure);
                                listDue = true;
                                retryLater(callGeneration);
                            } else if (changes.historyLost()) {
                                listDue = true;
                                makeNextCall(callGeneration);
                            } else {
                                asOfMillis = startedMillis;
                                process(callGeneration, () -> apply(callGeneration, changes));
                            }
                        });
    }

    /**
     * Confirms that the store received a watch, unless it was answered.
     *
     * @param callGeneration The generation of the watch.
     * @param watch The number of the watch.
     */
    private void confirm(int callGeneration, int watch) {
        if (awaitsAnswer(callGeneration, watch)) {
            source.ping()
                    .subscribe(
                            (ignored, failure) -> {
                                if (failure != null && awaitsAnswer(callGeneration, watch)) {
                                    availability.watchFailed(failure);
                                    refresh();
                                }
                            });
        }
    }

    private boolean awaitsAnswer(int callGeneration, int watch) {
        return callGeneration == generation && watching && watch == watchCount;
    }

    private void apply(int callGeneration, EntryChanges changes) {
        delayMillis = INITIAL_DELAY_MILLIS;
        availability.responded();
        retries.responded(source.kind());
        boolean onlyAdditions =
                changes.changes().stream()
                        .noneMatch(
                                each -> each.removed() || entries.containsKey(each.entry().name()));
        for (EntryChange each : changes.changes()) {
            if (each.removed()) {
                entries.remove(each.entry().name());
            } else {
                entries.put(each.entry().name(), each.entry());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (changes.changes().isEmpty()) {
            makeNextCall(callGeneration);
        } else {
            notifyListener();
            watchAfterChange(callGeneration, onlyAdditions);
        }
    }

    /**
     * Schedules the next watch. The delay behind additions is jittered, so that not all gateways
     * are without a watch at the same time: the first one that sees a removal notifies its peers.
     *
     * @param callGeneration The generation of the call.
     * @param onlyAdditions {@code true} if the last change only added objects.
     */
    private void watchAfterChange(int callGeneration, boolean onlyAdditions) {
        WatchTiming current = timing.get();
        Runnable next = () -> makeNextCall(callGeneration);
        if (onlyAdditions && current.additionBatchMillis() > 0) {
            source.delayWithJitter(current.additionBatchMillis(), next);
        } else {
            source.delay(current.batchMillis(), next);
        }
    }

    /**
     * Schedules the next call with exponential backoff, or after a response to another watcher.
     *
     * @param callGeneration The generation of the failed call.
     */
    private void retryLater(int callGeneration) {
        retries.retry(source, availability, delayMillis, () -> makeNextCall(callGeneration));
        delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
    }
}
