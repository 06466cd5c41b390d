package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the order and the revisions of lists and watches. */
final class KindWatcherTest {

    /** The maximum time between attempts, in milliseconds. */
    private static final long MAX_DELAY_MILLIS = 900;

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
