package org.martenwell.directory;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.Random;

/**
 * Access to the objects of one kind, with the clock and the timers of the event loop.
 *
 * @param reactor The event loop.
 * @param store The store.
 * @param kind The kind.
 * @param random The source of jitter.
 */
record KindSource(NioReactor reactor, ObjectStore store, String kind, Random random) {

    /**
     * Lists all objects.
     *
     * @param freshness The required consistency.
     * @return The listing.
     */
    Promise<KindListing> list(Freshness freshness) {
        return KindListing.of(store, kind, freshness);
    }

    /**
     * Waits for changes.
     *
     * @param revision The revision to watch from.
     * @param waitMillis The maximum time for which the store waits for a change, in milliseconds.
     * @return The changes, possibly none.
     */
    Promise<EntryChanges> watch(long revision, long waitMillis) {
        return store.watch(kind, revision, waitMillis);
    }

    /**
     * Checks that the store answers.
     *
     * @return A promise that completes when it has answered.
     */
    Promise<Void> ping() {
        return store.ping(kind);
    }

    /** {@return the event loop's time in milliseconds} */
    long now() {
        return reactor.currentTimeMillis();
    }

    /**
     * Schedules a task.
     *
     * @param millis The delay in milliseconds.
     * @param task The task.
     */
    void delay(long millis, Runnable task) {
        reactor.delayBackground(millis, task);
    }

    /**
     * Schedules a task with a random delay between half and one and a half times the mean, so that
     * gateways don't call the store in step.
     *
     * @param meanMillis The mean delay in milliseconds, at least 1.
     * @param task The task.
     */
    void delayWithJitter(long meanMillis, Runnable task) {
        delay(meanMillis / 2 + random.nextLong(meanMillis), task);
    }
}
