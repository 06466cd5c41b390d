package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests that a gateway that was cut off sends nothing to targets that left meanwhile.
 *
 * <p>Symptom: a gateway sent requests to a target 12 s after the store had taken that the target
 * leaves; others stopped within 20 ms.
 *
 * <p>Sequence: two gateways lose the store and their peers for 12 s and serve callers on by what
 * they know. A target says that it leaves 3 s into the cut, and its entry is gone 4 s later. The
 * cut ends; the gateways list the targets up to 1.6 s later and keep the departed one for another
 * 1.8 s, so that requests went there 3.03 s after the cut had ended.
 *
 * <p>Cause: a gateway that could not reach the store took the store to have been away for
 * everybody, and what its first list lacked for entries that could not be renewed. A cut that only
 * this gateway met lapses no entry.
 *
 * <p>Settled by the number of targets that gateways told at each change: 11, then 10 at the first
 * change behind the departure for those in touch; 11 in the first list behind the cut and 10
 * exactly 1.8 s after it for the two others, 28 of 28 times.
 */
final class DepartedTargetsTest {

    /** The targets that a gateway knew before it was cut off. */
    private static final String[] KNOWN = targets(0, 11);

    /** Those of them that are there after the cut. */
    private static final String[] REMAINING = targets(1, 11);

    /** How long a list may hang, in milliseconds. */
    private static final long HANGING_MILLIS = 1_500;

    /** Longer than a follower waits after one failure, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The latest at which a gateway that is back must have dropped targets, in milliseconds. */
    private static final long CAUGHT_UP_MILLIS = 3_000;

    private final KindWatcherHarness harness = new KindWatcherHarness();

    @Test
    void testTargetThatLeftDuringACutIsGoneWithTheFirstListBehindIt() {
        harness.store().willReturn(7, false, KNOWN);
        harness.store().willFail();
        harness.store().willFail();
        harness.store().willReturn(9, false, REMAINING);
        harness.runScript();
        assertThat(harness.notifications()).startsWith(Set.of(KNOWN), Set.of(REMAINING));
    }

    @Test
    void testMissingTargetsEndInTimeEvenIfMostAreMissing() {
        harness.store().willReturn(7, false, "one", "two", "three");
        harness.store().willReturn(9, false, "one");
        harness.start();
        harness.store().willHang();
        harness.advance(RETRY_MILLIS);
        harness.advance(HANGING_MILLIS);
        harness.store().failHanging();
        harness.advance(RETRY_MILLIS);
        assertThat(harness.lastNotification()).containsExactlyInAnyOrder("one", "two", "three");
        harness.advance(CAUGHT_UP_MILLIS - HANGING_MILLIS - RETRY_MILLIS);
        assertThat(harness.lastNotification()).containsExactly("one");
    }

    private static String[] targets(int from, int to) {
        return IntStream.range(from, to).mapToObj(each -> "t" + each).toArray(String[]::new);
    }
}
