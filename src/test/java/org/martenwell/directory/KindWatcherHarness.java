package org.martenwell.directory;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** Runs a {@link KindWatcher} on a scripted store with a manually advanced clock. */
final class KindWatcherHarness {

    /** Exceeds the delay before the first retries, in milliseconds. */
    private static final long RETRY_ELAPSED_MILLIS = 100;

    /** The number of retry delays after which all scripted responses have been used. */
    private static final int STEPS = 10;

    private final ScriptedStore store = new ScriptedStore();

    /** The names of the entries in each notification, in order. */
    private final List<Set<String>> notifications = new ArrayList<>();

    /** The number of notifications that fail from now on. */
    private int failures;

    private long nowMillis = 1;

    private WatchTiming timing = WatchTiming.of(0);

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final KindWatcher watcher =
            new KindWatcher(
                    new KindSource(loop, store, "kind", new Random(1)),
                    new StoreRetries(),
                    () -> timing,
                    entry -> "group",
                    entries -> notified(entries.keySet()));

    ScriptedStore store() {
        return store;
    }

    List<Set<String>> notifications() {
        return notifications;
    }

    Set<String> lastNotification() {
        return notifications.get(notifications.size() - 1);
    }

    /** Makes the listener fail at its next notifications. */
    void failNotifications(int count) {
        failures = count;
    }

    private void notified(Set<String> names) {
        notifications.add(new TreeSet<>(names));
        if (failures > 0) {
            failures--;
            throw new IllegalStateException("A fault of the listener.");
        }
    }

    void timing(WatchTiming changed) {
        timing = changed;
    }

    void start() {
        watcher.start();
        loop.run();
    }

    /** Runs the watcher until all scripted responses have been used. */
    void runScript() {
        start();
        for (int step = 0; step < STEPS; step++) {
            advance(RETRY_ELAPSED_MILLIS);
        }
    }

    /** Advances the clock and runs all tasks that are due. */
    void advance(long millis) {
        loop.post(() -> {});
        nowMillis += millis;
        loop.run();
    }
}
