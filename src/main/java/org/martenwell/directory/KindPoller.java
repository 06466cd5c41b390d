package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.Map;
import java.util.function.Consumer;
import org.martenwell.service.ManagedService;

/**
 * Keeps up with the objects of one kind by lists that need not be fresh. Where many watch and many
 * change, as gateways do when all of them start, watches would cost a call for each pair; lists
 * cost each a small and constant number of calls. Who learns of an object in another way asks for a
 * fresh list by {@link #refresh}.
 */
final class KindPoller implements ManagedService {

    /** How long after the first list another fresh one follows, in milliseconds. */
    private static final long SETTLE_MILLIS = 1_500;

    /** The shortest time between a list and a refresh, in milliseconds. */
    private static final long MIN_REFRESH_MILLIS = 500;

    /** How long it is from a failure to the next list before the first one, in milliseconds. */
    private static final long INITIAL_RETRY_MILLIS = 400;

    /**
     * How long it is from a later failure to the next list, in milliseconds. Who joined or left
     * meanwhile is heard of by reports; what a gateway must not miss other kinds bring.
     */
    private static final long RETRY_MILLIS = 1_500;

    /** Where the objects come from. */
    private final KindSource source;

    /** Whether the store answers. */
    private final StoreAvailability availability;

    /** How often the objects are listed. */
    private final PollInterval interval;

    /** Is told of all objects after each change. */
    private final Consumer<Map<String, StoredEntry>> listener;

    /** The objects at the last list. */
    private Map<String, StoredEntry> entries = Map.of();

    /** The revision of the last list, below which no list counts. */
    private long revision = -1;

    /** How many fresh lists are due before stale ones do. */
    private int freshListsDue;

    /** When the last list began, in milliseconds. */
    private long listStartedMillis = Long.MIN_VALUE / 2;

    /** Counts lists and stops; what an earlier one brings is dropped. */
    private int generation;

    /**
     * Creates a poller.
     *
     * @param source Where the objects come from.
     * @param interval How often they are listed.
     * @param listener Is told of all objects after each change.
     */
    KindPoller(
            KindSource source, PollInterval interval, Consumer<Map<String, StoredEntry>> listener) {
        this.source = source;
        this.interval = interval;
        this.freshListsDue = interval.freshLists();
        this.availability = new StoreAvailability(source);
        this.listener = listener;
    }

    @Override
    public Promise<Void> start() {
        list(Freshness.CURRENT);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        generation++;
        return Promise.complete();
    }

    /** Asks for a fresh list, unless one began a moment ago. */
    public void refresh() {
        if (source.now() - listStartedMillis >= MIN_REFRESH_MILLIS) {
            list(Freshness.CURRENT);
        }
    }

    /**
     * Lists the objects.
     *
     * @param freshness How fresh the list must be.
     */
    private void list(Freshness freshness) {
        int callGeneration = ++generation;
        listStartedMillis = source.now();
        source.list(freshness)
                .subscribe(
                        (listing, failure) -> {
                            if (callGeneration != generation) {
                                return;
                            }
                            if (failure != null) {
                                availability.listFailed(listStartedMillis, failure);
                                listLater(retryMillis(), Freshness.CURRENT);
                            } else {
                                availability.responded();
                                apply(listing);
                            }
                        });
    }

    /**
     * Takes in a list. One that is older than another seen before is dropped.
     *
     * @param listing The list.
     */
    private void apply(KindListing listing) {
        if (listing.revision() >= revision) {
            boolean changed = revision < 0 || !listing.entries().equals(entries);
            revision = listing.revision();
            entries = listing.entries();
            if (changed) {
                listener.accept(Map.copyOf(entries));
            }
        }
        freshListsDue = Math.max(0, freshListsDue - 1);
        if (freshListsDue > 0) {
            listLater(SETTLE_MILLIS, Freshness.CURRENT);
        } else {
            listLater(interval.millis(entries.size()), Freshness.STALE);
        }
    }

    /**
     * Returns how long it is from a failure to the next list.
     *
     * @return The mean time in milliseconds.
     */
    private long retryMillis() {
        return revision < 0 ? INITIAL_RETRY_MILLIS : RETRY_MILLIS;
    }

    /**
     * Lists the objects after a while.
     *
     * @param millis The mean of the time until then, in milliseconds.
     * @param freshness How fresh the list must be.
     */
    private void listLater(long millis, Freshness freshness) {
        int callGeneration = generation;
        source.delayWithJitter(
                millis,
                () -> {
                    if (callGeneration == generation) {
                        list(freshness);
                    }
                });
    }
}
