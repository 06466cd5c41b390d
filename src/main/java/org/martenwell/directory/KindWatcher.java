package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.ManagedService;

/**
 * Follows the objects of one kind: lists them, then watches them, and lists them again when the
 * store has lost its history or a watch broke. A store that loses its history may have told nothing
 * for a while before, though its revision rose, so that going on from there would miss changes.
 * While the store does not answer, what was last known stays, and what is missing when it is back
 * stays for a while longer; see {@link RetainedEntries}.
 */
final class KindWatcher implements ManagedService {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(KindWatcher.class);

    /** The first delay after a failure, in milliseconds. */
    private static final long INITIAL_DELAY_MILLIS = 40;

    /**
     * The longest mean delay after a failure, in milliseconds. With 0.4 s to connect and 1.5 times
     * the mean, two attempts in a row may fail and a gateway still catches up within 3 s.
     */
    private static final long MAX_DELAY_MILLIS = 600;

    /**
     * How long lapsed entries count behind the first list, in milliseconds: owners enter themselves
     * again within about 2 s of the store's return.
     */
    private static final long RETENTION_MILLIS = 1_800;

    /**
     * How long lapsed entries count at most behind the earliest moment at which the store can have
     * been back, in milliseconds: a gateway that is back must have caught up within 3 s.
     */
    private static final long MAX_CATCH_UP_MILLIS = 2_800;

    /** Where the objects come from. */
    private final KindSource source;

    /** Returns how the store is watched. */
    private final Supplier<WatchTiming> timing;

    /** Returns the group of an object, within which objects stand in for each other. */
    private final Function<StoredEntry, String> group;

    /** Is told of all objects after each change. */
    private final Consumer<Map<String, StoredEntry>> listener;

    /** The objects by name. */
    private Map<String, StoredEntry> entries = new HashMap<>();

    /** The objects that were missing after the last outage. */
    private RetainedEntries retained = RetainedEntries.NONE;

    /** Whether the store answers. */
    private final StoreAvailability availability;

    /** The revision from which to go on. */
    private long revision;

    /** Whether all objects have to be listed. */
    private boolean listDue = true;

    /** The next delay after a failure, in milliseconds. */
    private long delayMillis = INITIAL_DELAY_MILLIS;

    /** Counts restarts; what earlier rounds bring is dropped. */
    private int generation;

    /**
     * Creates a follower.
     *
     * @param source Where the objects come from.
     * @param timing Returns how the store is watched.
     * @param group Returns the group of an object, within which objects stand in for each other.
     * @param listener Is told of all objects after each change.
     */
    KindWatcher(
            KindSource source,
            Supplier<WatchTiming> timing,
            Function<StoredEntry, String> group,
            Consumer<Map<String, StoredEntry>> listener) {
        this.source = source;
        this.availability = new StoreAvailability(source);
        this.timing = timing;
        this.group = group;
        this.listener = listener;
    }

    @Override
    public Promise<Void> start() {
        next(generation);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        generation++;
        return Promise.complete();
    }

    /** Lists all objects at once. */
    public void refresh() {
        generation++;
        listDue = true;
        next(generation);
    }

    /**
     * Makes the next call.
     *
     * @param callGeneration The round.
     */
    private void next(int callGeneration) {
        if (callGeneration != generation) {
            return;
        }
        if (listDue) {
            list(callGeneration);
        } else {
            watch(callGeneration);
        }
    }

    /**
     * Lists all objects.
     *
     * @param callGeneration The round.
     */
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
                                retryLater(callGeneration);
                            } else {
                                applyListing(callGeneration, listing);
                            }
                        });
    }

    /**
     * Takes in all objects.
     *
     * @param callGeneration The round.
     * @param listing The objects.
     */
    private void applyListing(int callGeneration, KindListing listing) {
        delayMillis = INITIAL_DELAY_MILLIS;
        listDue = false;
        if (availability.unavailable()) {
            retainMissing(listing.entries());
        }
        availability.responded();
        entries = listing.entries();
        revision = listing.revision();
        notifyListener();
        next(callGeneration);
    }

    /**
     * Keeps for a while what is missing after an outage.
     *
     * @param listed The objects that the store holds now.
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

    /** Tells the listener of all objects. */
    private void notifyListener() {
        listener.accept(retained.mergedInto(entries, source.now()));
    }

    /**
     * Waits for changes.
     *
     * @param callGeneration The round.
     */
    private void watch(int callGeneration) {
        source.watch(revision, timing.get().waitMillis())
                .subscribe(
                        (changes, failure) -> {
                            if (callGeneration != generation) {
                                return;
                            }
                            if (failure != null) {
                                availability.watchFailed(failure);
                                listDue = true;
                                retryLater(callGeneration);
                            } else if (changes.lost()) {
                                listDue = true;
                                next(callGeneration);
                            } else {
                                apply(callGeneration, changes);
                            }
                        });
    }

    /**
     * Takes changes in.
     *
     * @param callGeneration The round.
     * @param changes The changes.
     */
    private void apply(int callGeneration, EntryChanges changes) {
        delayMillis = INITIAL_DELAY_MILLIS;
        availability.responded();
        for (EntryChange each : changes.changes()) {
            if (each.gone()) {
                entries.remove(each.entry().name());
            } else {
                entries.put(each.entry().name(), each.entry());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (changes.changes().isEmpty()) {
            next(callGeneration);
        } else {
            notifyListener();
            source.delay(timing.get().batchMillis(), () -> next(callGeneration));
        }
    }

    /**
     * Tries again after a delay that grows.
     *
     * @param callGeneration The round.
     */
    private void retryLater(int callGeneration) {
        source.delayWithJitter(delayMillis, () -> next(callGeneration));
        delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
    }
}
