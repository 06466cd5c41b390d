package org.martenwell.directory;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** A follower of a scripted store, with a clock that only the test moves. */
final class KindWatcherHarness {

    /** Longer than a follower waits after its first failures, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** In how many steps a follower has asked for all that a test lays down. */
    private static final int STEPS = 10;

    /** The store. */
    private final ScriptedStore store = new ScriptedStore();

    /** The names of the entries that the follower told, each time. */
    private final List<Set<String>> notifications = new ArrayList<>();

    /** The present time, in milliseconds. */
    private long nowMillis = 1;

    /** The loop. */
    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    /** The follower. */
    private final KindWatcher watcher =
            new KindWatcher(
                    new KindSource(loop, store, "kind", new Random(1)),
                    () -> WatchTiming.of(0),
                    entry -> "group",
                    entries -> notifications.add(new TreeSet<>(entries.keySet())));

    ScriptedStore store() {
        return store;
    }

    List<Set<String>> notifications() {
        return notifications;
    }

    Set<String> lastNotification() {
        return notifications.get(notifications.size() - 1);
    }

    /** Follows the store. */
    void start() {
        watcher.start();
        loop.run();
    }

    /** Follows the store until all that is laid down has been answered. */
    void runScript() {
        start();
        for (int step = 0; step < STEPS; step++) {
            advance(RETRY_MILLIS);
        }
    }

    /** Lets time pass; the loop ends when nothing but tasks in the background is left. */
    void advance(long millis) {
        loop.post(() -> {});
        nowMillis += millis;
        loop.run();
    }
}
