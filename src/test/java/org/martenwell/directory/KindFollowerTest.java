package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how a follower lists and watches. */
final class KindFollowerTest {

    /** The longest time between attempts, in milliseconds. */
    private static final long LONGEST_MILLIS = 900;

    /** How many attempts are looked at. */
    private static final int ATTEMPTS = 100;

    private final FollowedKind kind = new FollowedKind();

    @Test
    void testFollowerWatchesFromTheRevisionOfTheFirstPage() {
        kind.store().answers(7, true, "one");
        kind.store().answers(9, false, "two");
        kind.start();
        assertThat(kind.told()).containsExactly(Set.of("one", "two"));
        assertThat(kind.store().watched()).containsExactly(7L);
    }

    @Test
    void testStoreIsAskedAgainSoonHoweverLongItWasAway() {
        kind.store().fails();
        kind.start();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int before = kind.store().lists();
            kind.pass(LONGEST_MILLIS);
            assertThat(kind.store().lists()).isGreaterThan(before);
        }
    }
}
