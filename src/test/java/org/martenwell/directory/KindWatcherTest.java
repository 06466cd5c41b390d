package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the order and the revisions of lists and watches. */
final class KindWatcherTest {

    /** The maximum time between attempts, in milliseconds. */
    private static final long MAX_DELAY_MILLIS = 900;

    /** Exceeds the delay between a watch and its ping, in milliseconds. */
    private static final long PING_ELAPSED_MILLIS = 150;

    /** The number of failed attempts. */
    private static final int ATTEMPTS = 100;

    private final KindWatcherHarness harness = new KindWatcherHarness();

    @Test
    void testWatchStartsAtTheRevisionOfTheFirstPage() {
        harness.store().willReturn(7, true, "one");
        harness.store().willReturn(9, false, "two");
        harness.start();
        assertThat(harness.notifications()).containsExactly(Set.of("one", "two"));
        assertThat(harness.store().watchedRevisions()).containsExactly(7L);
    }

    /** Guards against a watch that the store never received and whose changes are missed. */
    @Test
    void testWatchIsReplacedByAListIfTheStoreDoesNotAnswerItsPing() {
        harness.store().willReturn(7, false, "one");
        harness.store().willReturn(8, false, "one", "two");
        harness.store().willHoldWatches();
        harness.store().failPings();
        harness.start();
        harness.advance(PING_ELAPSED_MILLIS);
        assertThat(harness.lastNotification()).isEqualTo(Set.of("one", "two"));
    }

    @Test
    void testWatchIsKeptIfTheStoreAnswersItsPing() {
        harness.store().willReturn(7, false, "one");
        harness.store().willHoldWatches();
        harness.start();
        harness.advance(PING_ELAPSED_MILLIS);
        assertThat(harness.store().pingCount()).isEqualTo(1);
        assertThat(harness.store().listCount()).isEqualTo(1);
    }

    /** Guards against a call of each gateway for each target while a fleet's targets start. */
    @Test
    void testWatchBehindAnAdditionIsDelayedLonger() {
        assertThat(watchesAfterBatchDelay("two", false)).isEqualTo(1);
    }

    /** Guards against a removal behind which further ones are noticed late. */
    @Test
    void testWatchBehindARemovalIsNotDelayedLonger() {
        assertThat(watchesAfterBatchDelay("one", true)).isEqualTo(2);
    }

    /** Guards against a draining target behind which further ones are noticed late. */
    @Test
    void testWatchBehindAChangedObjectIsNotDelayedLonger() {
        assertThat(watchesAfterBatchDelay("one", false)).isEqualTo(2);
    }

    /** Counts the watches until the least delay behind a change has passed. */
    private int watchesAfterBatchDelay(String changed, boolean removed) {
        harness.timing(new WatchTiming(8_000, 400));
        harness.store().willReturn(7, false, "one");
        harness.store().willReport(8, changed, removed);
        harness.start();
        harness.advance(400);
        return harness.store().watchedRevisions().size();
    }

    /** Guards against pings that a store with many changes would get for each of them. */
    @Test
    void testAnsweredWatchIsNotPinged() {
        harness.store().willReturn(7, false, "one");
        harness.start();
        harness.advance(PING_ELAPSED_MILLIS);
        assertThat(harness.store().pingCount()).isZero();
    }

    /** Guards against a watcher that never calls the store again after its listener failed. */
    @Test
    void testObjectsAreListedAgainAfterAFailureOfTheListener() {
        harness.store().willReturn(7, false, "one");
        harness.store().willReturn(8, false, "one", "two");
        harness.store().willHoldWatches();
        harness.failNotifications(1);
        harness.runScript();
        assertThat(harness.notifications()).containsExactly(Set.of("one"), Set.of("one", "two"));
        assertThat(harness.store().watchedRevisions()).contains(8L);
    }

    @Test
    void testListenerThatFailsDoesNotMakeTheStoreBusy() {
        harness.store().willReturn(7, false, "one");
        harness.store().willHoldWatches();
        harness.failNotifications(Integer.MAX_VALUE);
        harness.start();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            harness.advance(MAX_DELAY_MILLIS / 10);
        }
        assertThat(harness.store().listCount()).isBetween(10, 50);
    }

    @Test
    void testRetryDelayIsLimited() {
        harness.store().willFail();
        harness.start();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int before = harness.store().listCount();
            harness.advance(MAX_DELAY_MILLIS);
            assertThat(harness.store().listCount()).isGreaterThan(before);
        }
    }
}
