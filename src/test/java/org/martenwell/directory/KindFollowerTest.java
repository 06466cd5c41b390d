package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how a follower lists and watches. */
final class KindFollowerTest {

    private final FollowedKind kind = new FollowedKind();

    @Test
    void testFollowerWatchesFromTheRevisionOfTheFirstPage() {
        kind.store().answers(7, true, "one");
        kind.store().answers(9, false, "two");
        kind.start();
        assertThat(kind.told()).containsExactly(Set.of("one", "two"));
        assertThat(kind.store().watched()).containsExactly(7L);
    }
}
