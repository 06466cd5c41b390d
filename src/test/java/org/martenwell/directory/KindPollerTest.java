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

/** Tests following objects by lists and watches against a store that answers by script. */
final class KindPollerTest {

    /** Longer than a refresh is held back, in milliseconds. */
    private static final long LATER_MILLIS = 10_000;

    /** A minute, in milliseconds. */
    private static final long MINUTE_MILLIS = 60_000;

    /** How far the clock moves at a time, in milliseconds. */
    private static final long STEP_MILLIS = 100;

    private final ScriptedStore store = new ScriptedStore();

    private final List<Set<String>> notifications = new ArrayList<>();

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    @Test
    void testListOlderThanTheLastIsDropped() {
        store.willReturn(7, false, "one", "two");
        store.willReturn(5, false, "one");
        KindPoller poller = startedPoller();
        poller.refresh();
        loop.run();
        assertThat(notifications).containsExactly(Set.of("one", "two"));
    }

    @Test
    void testRefreshBringsWhatIsNew() {
        store.willReturn(7, false, "one");
        store.willReturn(8, false, "one", "two");
        KindPoller poller = startedPoller();
        poller.refresh();
        loop.run();
        assertThat(notifications).containsExactly(Set.of("one"), Set.of("one", "two"));
    }

    @Test
    void testRefreshesThatFollowEachOtherAskOnce() {
        store.willReturn(7, false, "one");
        store.willReturn(8, false, "one", "two");
        store.willReturn(9, false, "one", "two", "three");
        KindPoller poller = startedPoller();
        poller.refresh();
        poller.refresh();
        loop.run();
        assertThat(notifications).hasSize(2);
    }

    /**
     * In a fleet of 95 gateways that listed each other every 3 s, these lists were most of all
     * calls. Who joins is heard of by reports, so lists need not be frequent.
     */
    @Test
    void testCallsOfALargeFleetDoNotGrowWithItsSquare() {
        assertThat(listsIn(MINUTE_MILLIS, 95)).isBetween(4, 10);
    }

    @Test
    void testSmallFleetIsListedEveryThreeSeconds() {
        assertThat(listsIn(MINUTE_MILLIS, 7)).isBetween(15, 30);
    }

    /** Counts the lists of a poller of some gateways in a time. */
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

    /** Starts a poller and lets the time pass until a refresh is answered. */
    private KindPoller startedPoller() {
        KindPoller poller =
                new KindPoller(
                        new KindSource(loop, store, "kind", new Random(1)),
                        PollInterval.GATEWAYS,
                        entries -> notifications.add(new TreeSet<>(entries.keySet())));
        poller.start();
        loop.run();
        nowMillis += LATER_MILLIS;
        loop.run();
        return poller;
    }
}
