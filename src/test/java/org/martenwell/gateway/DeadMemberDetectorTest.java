package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which gateways are considered dead and which gateway removes them. */
final class DeadMemberDetectorTest {

    private static final long DEAD_AFTER_MILLIS = 30_000;

    private static final List<String> FLEET = List.of("a", "b", "c", "gone");

    @Test
    void testDeadGatewayIsRemovedByOneOfTheOthers() {
        List<String> removers = new ArrayList<>();
        for (String self : List.of("a", "b", "c")) {
            if (detectTwice(self, DEAD_AFTER_MILLIS, "a", "b", "c").equals(List.of("gone"))) {
                removers.add(self);
            }
        }
        assertThat(removers).hasSize(1);
    }

    @Test
    void testGatewayThatIsSilentForLessThanTheTimeoutStays() {
        for (String self : List.of("a", "b", "c")) {
            assertThat(detectTwice(self, DEAD_AFTER_MILLIS - 1, "a", "b", "c")).isEmpty();
        }
    }

    @Test
    void testPartitionedGatewayRemovesNone() {
        assertThat(detectTwice("a", DEAD_AFTER_MILLIS, "a", "b")).isEmpty();
    }

    /** Checks, waits while some gateways report, and checks again. */
    private static List<String> detectTwice(String self, long waitMillis, String... reporting) {
        LivePeers live = new LivePeers(self, () -> 0);
        DeadMemberDetector detector = new DeadMemberDetector();
        List<String> peers = FLEET.stream().filter(each -> !each.equals(self)).toList();
        report(live, self, 0, reporting);
        assertThat(detector.findDead(peers, live, 0)).isEmpty();
        report(live, self, waitMillis, reporting);
        return detector.findDead(peers, live, waitMillis);
    }

    private static void report(LivePeers live, String self, long now, String... reporting) {
        for (String each : reporting) {
            if (!each.equals(self)) {
                live.recordReport(each, now);
            }
        }
    }
}
