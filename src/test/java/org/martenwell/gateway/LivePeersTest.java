package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which gateway owns a target. */
final class LivePeersTest {

    private static final List<String> NAMES = List.of("a", "b", "c");

    /** The total delay of the event loop, in milliseconds. */
    private final AtomicLong delay = new AtomicLong();

    @Test
    void testEachTargetHasOneOwnerAmongConnectedGateways() {
        List<LivePeers> fleet = NAMES.stream().map(this::connectedToAll).toList();
        for (String target : IntStream.range(0, 50).mapToObj(each -> "t-" + each).toList()) {
            assertThat(fleet.stream().filter(each -> each.owns(target, 100))).hasSize(1);
        }
    }

    @Test
    void testTargetsOfASilentPeerMoveToTheOthers() {
        LivePeers alone = connectedToAll("a");
        for (String target : IntStream.range(0, 50).mapToObj(each -> "t-" + each).toList()) {
            assertThat(alone.owns(target, 5_000)).isTrue();
        }
    }

    /** A loop that was late has read no reports, which is no silence of its peers. */
    @Test
    void testPeersOfABusyLoopStayLive() {
        LivePeers live = connectedToAll("a");
        delay.set(5_000);
        assertThat(live.isLive("b", 5_100)).isTrue();
        assertThat(live.isLive("b", 7_000)).isFalse();
    }

    private LivePeers connectedToAll(String self) {
        LivePeers live = new LivePeers(self, delay::get);
        NAMES.stream()
                .filter(each -> !each.equals(self))
                .forEach(each -> live.recordReport(each, 0));
        return live;
    }
}
