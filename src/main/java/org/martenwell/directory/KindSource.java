package org.martenwell.directory;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.Random;

/**
 * Reads the objects of one kind from a store, and spreads calls over time.
 *
 * @param reactor The loop.
 * @param store The store.
 * @param kind The kind.
 * @param random Spreads calls.
 */
record KindSource(NioReactor reactor, ObjectStore store, String kind, Random random) {

    /**
     * Lists all objects.
     *
     * @param freshness How fresh the list must be.
     * @return The objects.
     */
    Promise<KindListing> list(Freshness freshness) {
        return KindListing.of(store, kind, freshness);
    }

    /**
     * Waits for changes.
     *
     * @param revision The revision from which to go on.
     * @param waitMillis How long the store may wait for a change, in milliseconds.
     * @return The changes.
     */
    Promise<EntryChanges> watch(long revision, long waitMillis) {
        return store.watch(kind, revision, waitMillis);
    }

    /**
     * Returns the present time.
     *
     * @return The time in milliseconds.
     */
    long now() {
        return reactor.currentTimeMillis();
    }

    /**
     * Runs a task after a while.
     *
     * @param millis The time until then, in milliseconds.
     * @param task The task.
     */
    void delay(long millis, Runnable task) {
        reactor.delayBackground(millis, task);
    }

    /**
     * Runs a task after a time that differs from call to call.
     *
     * @param meanMillis The mean of the time until then, in milliseconds.
     * @param task The task.
     */
    void delayWithJitter(long meanMillis, Runnable task) {
        delay(meanMillis / 2 + random.nextLong(meanMillis), task);
    }
}
