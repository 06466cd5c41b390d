package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which reports cause the directory to be read again. */
final class UnlistedPeersTest {

    private final UnlistedPeers peers = new UnlistedPeers();

    @Test
    void testUnlistedGatewayHasJoined() {
        assertThat(peers.joined("a", 1, false)).isTrue();
        assertThat(peers.joined("a", 1, true)).isFalse();
    }

    @Test
    void testGatewayThatLeftAndStillReportsHasNotJoined() {
        peers.joined("a", 1, true);
        assertThat(peers.joined("a", 1, false)).isFalse();
    }

    @Test
    void testRestartedGatewayHasJoined() {
        peers.joined("a", 1, true);
        assertThat(peers.joined("a", 2, false)).isTrue();
    }
}
