package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests that a gateway that was disconnected from the store doesn't use targets that were removed
 * meanwhile. Only an outage of the store itself justifies retaining missing entries.
 */
final class RemovedTargetsTest {

    /** The targets known before the gateway was disconnected. */
    private static final String[] KNOWN = targets(0, 11);

    /** The targets left when the gateway is connected again. */
    private static final String[] REMAINING = targets(1, 11);

    /** The time after which a pending list fails, in milliseconds. */
    private static final long HANGING_MILLIS = 1_500;

    /** Exceeds the delay before the first retry, in milliseconds. */
    private static final long RETRY_ELAPSED_MILLIS = 100;

    /** The maximum time for which missing targets may be retained, in milliseconds. */
    private static final long MAX_RETENTION_MILLIS = 3_000;

    private final KindWatcherHarness harness = new KindWatcherHarness();

    @Test
    void testTargetRemovedWhileDisconnectedIsDroppedAtTheFirstList() {
        harness.store().willReturn(7, false, KNOWN);
        harness.store().willFail();
        harness.store().willFail();
        harness.store().willReturn(9, false, REMAINING);
        harness.runScript();
        assertThat(harness.notifications()).startsWith(Set.of(KNOWN), Set.of(REMAINING));
    }

    @Test
    void testMissingTargetsAreDroppedInTimeEvenIfMostAreMissing() {
        harness.store().willReturn(7, false, "one", "two", "three");
        harness.store().willReturn(9, false, "one");
        harness.start();
        harness.store().willHang();
        harness.advance(RETRY_ELAPSED_MILLIS);
        harness.advance(HANGING_MILLIS);
        harness.store().failHanging();
        harness.advance(RETRY_ELAPSED_MILLIS);
        assertThat(harness.lastNotification()).containsExactlyInAnyOrder("one", "two", "three");
        harness.advance(MAX_RETENTION_MILLIS - HANGING_MILLIS - RETRY_ELAPSED_MILLIS);
        assertThat(harness.lastNotification()).containsExactly("one");
    }

    private static String[] targets(int from, int to) {
        return IntStream.range(from, to).mapToObj(each -> "t" + each).toArray(String[]::new);
    }
}
