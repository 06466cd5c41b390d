package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.GatewayMember;

/** Guards against gateways that lose sight of those that shut down at the same time. */
final class DepartingPeersTest {

    private final Set<String> connected = new HashSet<>(Set.of("a", "b"));

    private final DepartingPeers peers = new DepartingPeers("self", connected::contains);

    @Test
    void testGatewayThatLeftIsDepartingUntilItsConnectionEnds() {
        list("self", "a", "b");
        list("self", "b");
        assertThat(peers.names()).containsExactly("a");
        list("b");
        assertThat(peers.names()).containsExactly("a");
        connected.remove("a");
        assertThat(peers.names()).isEmpty();
        connected.add("a");
        assertThat(peers.names()).isEmpty();
    }

    @Test
    void testGatewayThatIsListedAgainIsNotDeparting() {
        list("a", "b");
        list("b");
        list("a", "b");
        assertThat(peers.names()).isEmpty();
    }

    /** Guards against waiting for gateways whose entries lapsed because their boxes are lost. */
    @Test
    void testGatewayWithoutConnectionIsNotDeparting() {
        list("a", "c");
        list("a");
        assertThat(peers.names()).isEmpty();
    }

    private void list(String... names) {
        List<GatewayMember> members =
                Stream.of(names).map(each -> new GatewayMember(each, "x", each, 1)).toList();
        peers.members(members);
    }
}
