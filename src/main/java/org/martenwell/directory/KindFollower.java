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
 * stays for a while longer; see {@link LapsedEntries}.
 */
final class KindFollower implements ManagedService {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(KindFollower.class);

    /** The first delay after a failure, in milliseconds. */
    private static final long FIRST_DELAY_MILLIS = 40;

    /**
     * The longest mean delay after a failure, in milliseconds. With 0.4 s to connect and 1.5 times
     * the mean, two attempts in a row may fail and a gateway still catches up within 3 s.
     */
    private static final long LONGEST_DELAY_MILLIS = 600;

    /**
     * How long lapsed entries count behind the first list, in milliseconds: owners enter themselves
     * again within about 2 s of the store's return.
     */
    private static final long LAPSED_MILLIS = 1_800;

    /**
     * How long lapsed entries count at most behind the earliest moment at which the store can have
     * been back, in milliseconds: a gateway that is back must have caught up within 3 s.
     */
    private static final long CAUGHT_UP_MILLIS = 2_800;

    /** Where the objects come from. */
    private final KindSource source;

    /** Returns how the store is watched. */
    private final Supplier<WatchPace> pace;

    /** Returns the group of an object, within which objects stand in for each other. */
    private final Function<StoredEntry, String> group;

    /** Is told of all objects after each change. */
    private final Consumer<Map<String, StoredEntry>> listener;

    /** The objects by name. */
    private Map<String, StoredEntry> entries = new HashMap<>();

    /** The objects that were missing after the last outage. */
    private LapsedEntries lapsed = LapsedEntries.NONE;

    /** Whether the store answers. */
    private final StoreContact contact;

    /** The revision from which to go on. */
    private long revision;

    /** Whether all objects have to be listed. */
    private boolean listDue = true;

    /** The next delay after a failure, in milliseconds. */
    private long delayMillis = FIRST_DELAY_MILLIS;

    /** Counts restarts; what earlier rounds bring is dropped. */
    private int round;

    /**
     * Creates a follower.
     *
     * @param source Where the objects come from.
     * @param pace Returns how the store is watched.
     * @param group Returns the group of an object, within which objects stand in for each other.
     * @param listener Is told of all objects after each change.
     */
    KindFollower(
            KindSource source,
            Supplier<WatchPace> pace,
            Function<StoredEntry, String> group,
            Consumer<Map<String, StoredEntry>> listener) {
        this.source = source;
        this.contact = new StoreContact(source);
        this.pace = pace;
        this.group = group;
        this.listener = listener;
    }

    @Override
    public Promise<Void> start() {
        step(round);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        round++;
        return Promise.complete();
    }

    /** Lists all objects at once. */
    public void refresh() {
        round++;
        listDue = true;
        step(round);
    }

    /**
     * Makes the next call.
     *
     * @param present The round.
     */
    private void step(int present) {
        if (present != round) {
            return;
        }
        if (listDue) {
            list(present);
        } else {
            watch(present);
        }
    }

    /**
     * Lists all objects.
     *
     * @param present The round.
     */
    private void list(int present) {
        long began = source.now();
        source.list(Freshness.CURRENT)
                .subscribe(
                        (listing, failure) -> {
                            if (present != round) {
                                return;
                            }
                            if (failure != null) {
                                contact.listFailed(began, failure);
                                retryLater(present);
                            } else {
                                listed(present, listing);
                            }
                        });
    }

    /**
     * Takes in all objects.
     *
     * @param present The round.
     * @param listing The objects.
     */
    private void listed(int present, KindListing listing) {
        delayMillis = FIRST_DELAY_MILLIS;
        listDue = false;
        if (contact.away()) {
            keepLapsed(listing.entries());
        }
        contact.answered();
        entries = listing.entries();
        revision = listing.revision();
        tell();
        step(present);
    }

    /**
     * Keeps for a while what is missing after an outage.
     *
     * @param listed The objects that the store holds now.
     */
    private void keepLapsed(Map<String, StoredEntry> listed) {
        long now = source.now();
        Map<String, StoredEntry> before = lapsed.under(entries, now);
        long until = Math.min(now + LAPSED_MILLIS, contact.awayAtMillis() + CAUGHT_UP_MILLIS);
        lapsed = LapsedEntries.of(before, listed, group, until);
        LOGGER.info(
                LogEvent.of("store-regained")
                        .with("kind", source.kind())
                        .with("awayMillis", contact.awayMillis())
                        .with("listed", listed.size())
                        .with("kept", lapsed.names())
                        .message());
        if (!lapsed.isEmpty()) {
            source.later(Math.max(0, until - now), this::tell);
        }
    }

    /** Tells the listener of all objects. */
    private void tell() {
        listener.accept(lapsed.under(entries, source.now()));
    }

    /**
     * Waits for changes.
     *
     * @param present The round.
     */
    private void watch(int present) {
        source.watch(revision, pace.get().waitMillis())
                .subscribe(
                        (changes, failure) -> {
                            if (present != round) {
                                return;
                            }
                            if (failure != null) {
                                contact.watchFailed(failure);
                                listDue = true;
                                retryLater(present);
                            } else if (changes.lost()) {
                                listDue = true;
                                step(present);
                            } else {
                                take(present, changes);
                            }
                        });
    }

    /**
     * Takes changes in.
     *
     * @param present The round.
     * @param changes The changes.
     */
    private void take(int present, EntryChanges changes) {
        delayMillis = FIRST_DELAY_MILLIS;
        contact.answered();
        for (EntryChange each : changes.changes()) {
            if (each.gone()) {
                entries.remove(each.entry().name());
            } else {
                entries.put(each.entry().name(), each.entry());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (changes.changes().isEmpty()) {
            step(present);
        } else {
            tell();
            source.later(pace.get().gatherMillis(), () -> step(present));
        }
    }

    /**
     * Tries again after a delay that grows.
     *
     * @param present The round.
     */
    private void retryLater(int present) {
        source.spread(delayMillis, () -> step(present));
        delayMillis = Math.min(LONGEST_DELAY_MILLIS, delayMillis * 2);
    }
}
