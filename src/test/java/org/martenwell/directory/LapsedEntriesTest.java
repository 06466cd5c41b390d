package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests what becomes of entries that lapse while the store is away. */
final class LapsedEntriesTest {

    /** Longer than lapsed entries are kept, in milliseconds. */
    private static final long LATER_MILLIS = 10_000;

    /** Longer than a follower waits after a failure, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** In how many steps a follower has asked for all that a test lays down. */
    private static final int STEPS = 10;

    private final ScriptedStore store = new ScriptedStore();

    private final List<Set<String>> told = new ArrayList<>();

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    @Test
    void testEntriesThatLapsedWhileTheStoreWasAwayAreKeptForAWhile() {
        store.answers(7, false, "one", "two");
        store.fails();
        store.answers(8, false, "one");
        follow();
        assertThat(told).hasSizeGreaterThan(1).allMatch(Set.of("one", "two")::equals);
        pass(LATER_MILLIS);
        assertThat(told.get(told.size() - 1)).containsExactly("one");
    }

    @Test
    void testEntriesThatAreBackStay() {
        store.answers(7, false, "one", "two");
        store.fails();
        store.answers(8, false, "one");
        store.answers(9, false, "one", "two");
        follow();
        pass(LATER_MILLIS);
        assertThat(told).hasSizeGreaterThan(1).allMatch(Set.of("one", "two")::equals);
    }

    @Test
    void testEntriesThatLeftBesideABrokenWatchAreGoneAtOnce() {
        store.answers(7, false, "one", "two");
        store.answers(8, false, "one");
        follow();
        assertThat(told).startsWith(Set.of("one", "two"), Set.of("one"));
    }

    @Test
    void testEntriesKeptEndTogether() {
        LapsedEntries lapsed =
                LapsedEntries.of(entries("one", "two", "three"), entries("one"), 100);
        assertThat(lapsed.under(entries("one"), 99)).containsOnlyKeys("one", "two", "three");
        assertThat(lapsed.under(entries("one"), 100)).containsOnlyKeys("one");
    }

    @Test
    void testPresentEntryIsPreferredToTheOneThatLapsed() {
        LapsedEntries lapsed = LapsedEntries.of(entries("one"), Map.of(), 100);
        StoredEntry present = new StoredEntry("one", 9, JsonNodeFactory.instance.objectNode());
        assertThat(lapsed.under(Map.of("one", present), 1)).containsEntry("one", present);
    }

    /** Follows the store until all that is laid down has been answered. */
    private void follow() {
        KindFollower follower =
                new KindFollower(
                        new KindSource(loop, store, "kind", new Random(1)),
                        () -> WatchPace.of(0),
                        entries -> told.add(new TreeSet<>(entries.keySet())));
        follower.start();
        loop.run();
        for (int step = 0; step < STEPS; step++) {
            pass(RETRY_MILLIS);
        }
    }

    /** Lets time pass; the loop ends when nothing but tasks in the background is left. */
    private void pass(long millis) {
        loop.post(() -> {});
        nowMillis += millis;
        loop.run();
    }

    private static Map<String, StoredEntry> entries(String... names) {
        Map<String, StoredEntry> entries = new HashMap<>();
        for (String each : names) {
            entries.put(each, new StoredEntry(each, 1, JsonNodeFactory.instance.objectNode()));
        }
        return entries;
    }
}
