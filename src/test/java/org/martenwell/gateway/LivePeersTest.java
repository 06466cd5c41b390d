package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which gateway owns a target. */
final class LivePeersTest {

    private static final List<String> NAMES = List.of("a", "b", "c");

    @Test
    void testEachTargetHasOneOwnerAmongConnectedGateways() {
        List<LivePeers> fleet = NAMES.stream().map(LivePeersTest::connectedToAll).toList();
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

    private static LivePeers connectedToAll(String self) {
        LivePeers live = new LivePeers(self);
        NAMES.stream()
                .filter(each -> !each.equals(self))
                .forEach(each -> live.recordReport(each, 0));
        return live;
    }
}
