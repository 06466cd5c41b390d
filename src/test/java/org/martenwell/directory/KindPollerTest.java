package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests polling of a scripted store with a manually advanced clock. */
final class KindPollerTest {

    /** Exceeds the minimum time between a list and a refresh, in milliseconds. */
    private static final long REFRESH_PERMITTED_MILLIS = 10_000;

    private static final long MINUTE_MILLIS = 60_000;

    /** The step by which the clock advances, in milliseconds. */
    private static final long STEP_MILLIS = 100;

    private final ScriptedStore store = new ScriptedStore();

    private final List<Set<String>> notifications = new ArrayList<>();

    /** Set if the listener fails. */
    private boolean failing;

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    @Test
    void testListWithLowerRevisionIsIgnored() {
        store.willReturn(7, false, "one", "two");
        store.willReturn(5, false, "one");
        KindPoller poller = startedPoller();
        poller.refresh();
        loop.run();
        assertThat(notifications).containsExactly(Set.of("one", "two"));
    }

    @Test
    void testRefreshReportsNewEntries() {
        store.willReturn(7, false, "one");
        store.willReturn(8, false, "one", "two");
        KindPoller poller = startedPoller();
        poller.refresh();
        loop.run();
        assertThat(notifications).containsExactly(Set.of("one"), Set.of("one", "two"));
    }

    @Test
    void testConsecutiveRefreshesMakeOneCall() {
        store.willReturn(7, false, "one");
        store.willReturn(8, false, "one", "two");
        store.willReturn(9, false, "one", "two", "three");
        KindPoller poller = startedPoller();
        poller.refresh();
        poller.refresh();
        loop.run();
        assertThat(notifications).hasSize(2);
    }

    /** A fault in what processes a list must not end the lists. */
    @Test
    void testPollingGoesOnAfterAFailureOfTheListener() {
        failing = true;
        assertThat(listsIn(MINUTE_MILLIS, 7)).isBetween(15, 30);
        assertThat(notifications).as("each list is reported again").hasSizeGreaterThan(15);
    }

    /**
     * The load that gateways put on the store by listing each other must not grow with the square
     * of the fleet.
     */
    @Test
    void testPollIntervalGrowsWithTheFleet() {
        assertThat(listsIn(MINUTE_MILLIS, 95)).isBetween(4, 10);
    }

    @Test
    void testSmallFleetIsListedAtTheMinimumInterval() {
        assertThat(listsIn(MINUTE_MILLIS, 7)).isBetween(15, 30);
    }

    private void notified(Set<String> names) {
        notifications.add(new TreeSet<>(names));
        if (failing) {
            throw new IllegalStateException("A fault of the listener.");
        }
    }

    /** Counts the lists that a poller makes in a period. */
    private int listsIn(long millis, int gateways) {
        String[] names = new String[gateways];
        Arrays.setAll(names, index -> "gateway-" + index);
        store.willReturn(7, false, names);
        startedPoller();
        int before = store.listCount();
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            loop.post(() -> {});
            loop.run();
        }
        return store.listCount() - before;
    }

    /** Starts a poller and advances the clock until a refresh is permitted. */
    private KindPoller startedPoller() {
        KindPoller poller =
                new KindPoller(
                        new KindSource(loop, store, "kind", new Random(1)),
                        PollInterval.GATEWAYS,
                        entries -> notified(entries.keySet()));
        poller.start();
        loop.run();
        nowMillis += REFRESH_PERMITTED_MILLIS;
        loop.run();
        return poller;
    }
}
