package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how a follower lists and watches. */
final class KindWatcherTest {

    /** The longest time between attempts, in milliseconds. */
    private static final long LONGEST_MILLIS = 900;

    /** How many attempts are looked at. */
    private static final int ATTEMPTS = 100;

    private final KindWatcherHarness harness = new KindWatcherHarness();

    @Test
    void testFollowerWatchesFromTheRevisionOfTheFirstPage() {
        harness.store().willReturn(7, true, "one");
        harness.store().willReturn(9, false, "two");
        harness.start();
        assertThat(harness.notifications()).containsExactly(Set.of("one", "two"));
        assertThat(harness.store().watchedRevisions()).containsExactly(7L);
    }

    @Test
    void testStoreIsAskedAgainSoonHoweverLongItWasAway() {
        harness.store().willFail();
        harness.start();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int before = harness.store().listCount();
            harness.advance(LONGEST_MILLIS);
            assertThat(harness.store().listCount()).isGreaterThan(before);
        }
    }
}
