package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which entries are retained after an outage of the store, and for how long. */
final class RetainedEntriesTest {

    /** Exceeds the retention time, in milliseconds. */
    private static final long GRACE_EXPIRED_MILLIS = 10_000;

    private final KindWatcherHarness harness = new KindWatcherHarness();

    @Test
    void testEntriesMissingAfterAnOutageAreRetainedForAGracePeriod() {
        harness.store().willReturn(7, false, "one", "two");
        harness.store().willFail();
        harness.store().willReturn(8, false, "one");
        harness.runScript();
        assertThat(harness.notifications())
                .hasSizeGreaterThan(1)
                .allMatch(Set.of("one", "two")::equals);
        harness.advance(GRACE_EXPIRED_MILLIS);
        assertThat(harness.lastNotification()).containsExactly("one");
    }

    @Test
    void testEntriesThatReturnAreReportedThroughout() {
        harness.store().willReturn(7, false, "one", "two");
        harness.store().willFail();
        harness.store().willReturn(8, false, "one");
        harness.store().willReturn(9, false, "one", "two");
        harness.runScript();
        harness.advance(GRACE_EXPIRED_MILLIS);
        assertThat(harness.notifications())
                .hasSizeGreaterThan(1)
                .allMatch(Set.of("one", "two")::equals);
    }

    @Test
    void testEntriesMissingAfterAFailedWatchAreDroppedImmediately() {
        harness.store().willReturn(7, false, "one", "two");
        harness.store().willReturn(8, false, "one");
        harness.runScript();
        assertThat(harness.notifications()).startsWith(Set.of("one", "two"), Set.of("one"));
    }

    @Test
    void testEntriesAreRetainedPerGroup() {
        RetainedEntries retained =
                RetainedEntries.of(
                        entries("engine-1", "engine-2", "engine-3", "plain-1", "plain-2"),
                        entries("engine-1", "engine-2", "plain-1"),
                        each -> each.name().substring(0, 5),
                        100);
        assertThat(retained.names()).containsExactly("plain-2");
    }

    @Test
    void testRetainedEntriesExpireTogether() {
        RetainedEntries retained =
                RetainedEntries.of(
                        entries("one", "two", "three"), entries("one"), each -> "group", 100);
        assertThat(retained.mergedInto(entries("one"), 99)).containsOnlyKeys("one", "two", "three");
        assertThat(retained.mergedInto(entries("one"), 100)).containsOnlyKeys("one");
    }

    @Test
    void testStoredEntryTakesPrecedenceOverRetainedOne() {
        RetainedEntries retained =
                RetainedEntries.of(entries("one"), Map.of(), each -> "group", 100);
        StoredEntry present = new StoredEntry("one", 9, JsonNodeFactory.instance.objectNode());
        assertThat(retained.mergedInto(Map.of("one", present), 1)).containsEntry("one", present);
    }

    private static Map<String, StoredEntry> entries(String... names) {
        Map<String, StoredEntry> entries = new HashMap<>();
        for (String each : names) {
            entries.put(each, new StoredEntry(each, 1, JsonNodeFactory.instance.objectNode()));
        }
        return entries;
    }
}
