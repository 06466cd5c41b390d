package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what becomes of entries that lapse while the store is away. */
final class LapsedEntriesTest {

    /** Longer than lapsed entries are kept, in milliseconds. */
    private static final long LATER_MILLIS = 10_000;

    private final FollowedKind kind = new FollowedKind();

    @Test
    void testEntriesThatLapsedWhileTheStoreWasAwayAreKeptForAWhile() {
        kind.store().answers(7, false, "one", "two");
        kind.store().fails();
        kind.store().answers(8, false, "one");
        kind.follow();
        assertThat(kind.told()).hasSizeGreaterThan(1).allMatch(Set.of("one", "two")::equals);
        kind.pass(LATER_MILLIS);
        assertThat(kind.lastTold()).containsExactly("one");
    }

    @Test
    void testEntriesThatAreBackStay() {
        kind.store().answers(7, false, "one", "two");
        kind.store().fails();
        kind.store().answers(8, false, "one");
        kind.store().answers(9, false, "one", "two");
        kind.follow();
        kind.pass(LATER_MILLIS);
        assertThat(kind.told()).hasSizeGreaterThan(1).allMatch(Set.of("one", "two")::equals);
    }

    @Test
    void testEntriesThatLeftBesideABrokenWatchAreGoneAtOnce() {
        kind.store().answers(7, false, "one", "two");
        kind.store().answers(8, false, "one");
        kind.follow();
        assertThat(kind.told()).startsWith(Set.of("one", "two"), Set.of("one"));
    }

    @Test
    void testEntriesLapseByGroup() {
        LapsedEntries lapsed =
                LapsedEntries.of(
                        entries("engine-1", "engine-2", "engine-3", "plain-1", "plain-2"),
                        entries("engine-1", "engine-2", "plain-1"),
                        each -> each.name().substring(0, 5),
                        100);
        assertThat(lapsed.names()).containsExactly("plain-2");
    }

    @Test
    void testEntriesKeptEndTogether() {
        LapsedEntries lapsed =
                LapsedEntries.of(
                        entries("one", "two", "three"), entries("one"), each -> "group", 100);
        assertThat(lapsed.under(entries("one"), 99)).containsOnlyKeys("one", "two", "three");
        assertThat(lapsed.under(entries("one"), 100)).containsOnlyKeys("one");
    }

    @Test
    void testPresentEntryIsPreferredToTheOneThatLapsed() {
        LapsedEntries lapsed = LapsedEntries.of(entries("one"), Map.of(), each -> "group", 100);
        StoredEntry present = new StoredEntry("one", 9, JsonNodeFactory.instance.objectNode());
        assertThat(lapsed.under(Map.of("one", present), 1)).containsEntry("one", present);
    }

    private static Map<String, StoredEntry> entries(String... names) {
        Map<String, StoredEntry> entries = new HashMap<>();
        for (String each : names) {
            entries.put(each, new StoredEntry(each, 1, JsonNodeFactory.instance.objectNode()));
        }
        return entries;
    }
}
