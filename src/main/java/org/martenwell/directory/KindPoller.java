package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.Map;
import java.util.function.Consumer;
import org.martenwell.service.FailureBarrier;
import org.martenwell.service.ManagedService;

/**
 * Keeps a copy of all objects of one kind by listing them periodically. Suits objects that every
 * gateway both writes and reads: when a fleet starts, watches would cost one call per pair of
 * gateways, while the cost of polling per gateway is constant. Call {@link #refresh} to read an
 * object that a peer has reported before the next poll.
 */
final class KindPoller implements ManagedService {

    /**
     * The delay between the first and the second {@link Freshness#CURRENT} list, in milliseconds.
     */
    private static final long SETTLE_MILLIS = 1_500;

    /** The minimum time between the start of a list and a refresh, in milliseconds. */
    private static final long MIN_REFRESH_MILLIS = 500;

    /** The mean delay before a retry until the first list has succeeded, in milliseconds. */
    private static final long INITIAL_RETRY_MILLIS = 400;

    /**
     * The mean delay before a retry after the first list has succeeded, in milliseconds. In the
     * meantime, reports of peers also announce new members.
     */
    private static final long RETRY_MILLIS = 1_500;

    private final KindSource source;

    private final StoreAvailability availability;

    private final PollInterval interval;

    /** Receives all objects after each change. */
    private final Consumer<Map<String, StoredEntry>> listener;

    /** The objects of the last accepted list. */
    private Map<String, StoredEntry> entries = Map.of();

    /** Set until the listener has processed the last accepted list. */
    private boolean unprocessed = true;

    /**
     * The revision of the last accepted list, negative before the first; lists with lower revisions
     * are ignored.
     */
    private long revision = -1;

    /**
     * The number of {@link Freshness#CURRENT} lists to make before polling switches to stale ones.
     */
    private int freshListsDue;

    /** The time at which the last list started, in milliseconds. */
    private long listStartedMillis = Long.MIN_VALUE / 2;

    /** Incremented for each list and on stop; results of earlier lists are ignored. */
    private int generation;

    /**
     * Creates a poller that is not started.
     *
     * @param source The source of the objects.
     * @param interval The intervals between lists.
     * @param listener Receives all objects by name after each change.
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

    /** Requests a current list, unless a list started less than {@link #MIN_REFRESH_MILLIS} ago. */
    public void refresh() {
        if (source.now() - listStartedMillis >= MIN_REFRESH_MILLIS) {
            list(Freshness.CURRENT);
        }
    }

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
     * Applies a list, unless it is older than the last accepted one, and schedules the next. If the
     * listener fails, it receives the next list, whether or not it differs.
     *
     * @param listing The list.
     */
    private void apply(KindListing listing) {
        if (listing.revision() >= revision) {
            boolean changed = unprocessed || !listing.entries().equals(entries);
            revision = listing.revision();
            entries = listing.entries();
            if (changed) {
                unprocessed = false;
                FailureBarrier.run(
                        source.kind() + " poller",
                        () -> listener.accept(Map.copyOf(entries)),
                        () -> unprocessed = true);
            }
        }
        freshListsDue = Math.max(0, freshListsDue - 1);
        if (freshListsDue > 0) {
            listLater(SETTLE_MILLIS, Freshness.CURRENT);
        } else {
            listLater(interval.millis(entries.size()), Freshness.STALE);
        }
    }

    private long retryMillis() {
        return revision < 0 ? INITIAL_RETRY_MILLIS : RETRY_MILLIS;
    }

    /**
     * Schedules a list.
     *
     * @param millis The mean delay in milliseconds, to which jitter is applied.
     * @param freshness The required consistency.
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
