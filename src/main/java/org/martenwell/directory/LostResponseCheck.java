package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.function.IntSupplier;
import org.martenwell.service.ManagedService;

/**
 * Lists the objects of a watched kind from time to time. A watch whose response was lost looks like
 * one without changes until its wait ends. All gateways together make about three lists in two
 * seconds, whatever their number, since one that learns of a change passes it on to its peers.
 */
final class LostResponseCheck implements ManagedService {

    /**
     * The mean interval between two lists of a gateway per gateway of the fleet, in milliseconds.
     */
    private static final long INTERVAL_MILLIS_PER_MEMBER = 700;

    /** The delay until the size of the fleet is looked up again while it is unknown. */
    private static final long UNKNOWN_SIZE_MILLIS = 1_000;

    private final KindSource source;

    /** Returns the number of gateways, 0 if it is unknown. */
    private final IntSupplier members;

    private final KindWatcher watcher;

    private boolean stopped;

    /**
     * Creates a check that is not started.
     *
     * @param source The source of the objects.
     * @param members Returns the number of gateways, 0 if it is unknown.
     * @param watcher The watcher of the same objects.
     */
    LostResponseCheck(KindSource source, IntSupplier members, KindWatcher watcher) {
        this.source = source;
        this.members = members;
        this.watcher = watcher;
    }

    @Override
    public Promise<Void> start() {
        scheduleNext();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    private void scheduleNext() {
        int count = members.getAsInt();
        if (count == 0) {
            source.delay(UNKNOWN_SIZE_MILLIS, this::scheduleIfRunning);
        } else {
            source.delayWithJitter(INTERVAL_MILLIS_PER_MEMBER * count, this::check);
        }
    }

    private void scheduleIfRunning() {
        if (!stopped) {
            scheduleNext();
        }
    }

    private void check() {
        if (stopped) {
            return;
        }
        long startedMillis = source.now();
        source.list(Freshness.CURRENT)
                .subscribe(
                        (listing, failure) -> {
                            if (stopped) {
                                return;
                            }
                            if (failure == null) {
                                watcher.applyIfNewer(listing, startedMillis);
                            } else {
                                watcher.checkFailed(failure);
                            }
                            scheduleNext();
                        });
    }
}
