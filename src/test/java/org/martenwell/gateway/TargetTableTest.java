package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.service.IpAddress;

/**
 * Tests what a gateway does with a target of which a peer tells that it leaves. The load: 58
 * targets of which some leave every second; each gateway of 95 that read its directory at once made
 * two calls for each of these seconds, though its watch was about to tell the same.
 */
final class TargetTableTest {

    /** Longer than a directory may take to tell what a peer told, in milliseconds. */
    private static final long LATE_MILLIS = 2_000;

    private final TargetTable table =
            new TargetTable(
                    Eventloop.builder().withCurrentThread().build(),
                    new TargetEndListener(target -> {}));

    @BeforeEach
    void start() {
        table.update(Map.of("one", target("one", false), "two", target("two", false)));
        table.leavingByPeer("one@1", 0);
    }

    @Test
    void testTargetThatLeavesGetsNothingFromThenOn() {
        assertThat(table.open("service", List.of(), 0))
                .extracting(load -> load.target().id())
                .containsExactly("two");
        assertThat(table.leaving()).containsExactly("one@1");
    }

    @Test
    void testDirectoryThatTellsTheSameSoonIsNotReadAgain() {
        assertThat(table.missesNews(100)).isFalse();
        table.update(Map.of("one", target("one", true), "two", target("two", false)));
        assertThat(table.missesNews(LATE_MILLIS)).isFalse();
    }

    @Test
    void testDirectoryThatDoesNotTellIsReadAgainOnce() {
        assertThat(table.missesNews(LATE_MILLIS)).isTrue();
        assertThat(table.missesNews(LATE_MILLIS + 1)).isFalse();
        table.leavingByPeer("one@1", LATE_MILLIS);
        assertThat(table.missesNews(3 * LATE_MILLIS)).isFalse();
    }

    @Test
    void testTargetThatIsGoneIsForgotten() {
        table.update(Map.of("two", target("two", false)));
        assertThat(table.missesNews(LATE_MILLIS)).isFalse();
        assertThat(table.leaving()).isEmpty();
    }

    /**
     * By reading: what is remembered by life is bounded. A target that outlived 2,048 others was
     * forgotten there, so that its leaving was noted where nothing looked any more. What a target
     * says that lives is noted at itself now.
     */
    @Test
    void testTargetThatOutlivesAllThatIsRememberedStillLeaves() {
        for (int other = 0; other < 3_000; other++) {
            table.leavingByPeer("other-" + other + "@1", 0);
        }
        table.update(Map.of("one", target("one", false), "two", target("two", true)));
        assertThat(table.open("service", List.of(), 0)).isEmpty();
        assertThat(table.leaving()).containsExactlyInAnyOrder("one@1", "two@1");
    }

    private static DirectoryTarget target(String id, boolean leaving) {
        return new DirectoryTarget(
                id, OptionalLong.of(1), "service", IpAddress.of("127.0.0.1:1"), "zone", 1, leaving);
    }
}
