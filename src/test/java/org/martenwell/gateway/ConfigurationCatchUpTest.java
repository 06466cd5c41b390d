package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when a newer configuration is requested, and from which peer. */
final class ConfigurationCatchUpTest {

    private final ConfigurationCatchUp catchUp = new ConfigurationCatchUp("self");

    @Test
    void testGatewayWithoutConfigurationRequestsItFromTheFirstPeerOnly() {
        assertThat(requests(4, 0, 10)).isTrue();
        assertThat(requests(4, 0, 11)).isFalse();
        assertThat(requests(4, 0, 300)).isTrue();
    }

    @Test
    void testNoRequestWithinTheGracePeriodOfTheStore() {
        assertThat(requests(5, 4, 1_000)).isFalse();
        assertThat(requests(5, 4, 1_050)).isFalse();
        assertThat(requests(5, 5, 1_200)).isFalse();
    }

    @Test
    void testRequestGoesToOnePeerAfterTheGracePeriod() {
        assertThat(requests(5, 4, 1_000)).isFalse();
        assertThat(requests(5, 4, 1_130)).isTrue();
        assertThat(requests(6, 4, 1_140)).isFalse();
        assertThat(requests(6, 4, 1_340)).isTrue();
    }

    @Test
    void testEachNewVersionHasItsOwnGracePeriod() {
        assertThat(requests(5, 4, 1_000)).isFalse();
        assertThat(requests(6, 5, 9_000)).isFalse();
        assertThat(requests(6, 5, 9_130)).isTrue();
    }

    @Test
    void testSeriesOfChangesDoesNotDelayTheRequest() {
        assertThat(requests(5, 4, 1_000)).isFalse();
        assertThat(requests(6, 4, 1_100)).isFalse();
        assertThat(requests(7, 4, 1_200)).isTrue();
    }

    /** Guards against requests to a peer that is not connected or as old as this gateway. */
    @Test
    void testOnlyConnectedPeersWithANewerVersionAreAsked() {
        catchUp.reported("old", 4, 4, 1_000);
        catchUp.reported("unconnected", 6, 4, 1_000);
        catchUp.reported("connected", 5, 4, 1_000);
        assertThat(next(Set.of("old", "connected"), 1_200)).contains("connected");
    }

    @Test
    void testNoPeerIsAskedIfNoneWithANewerVersionIsConnected() {
        catchUp.reported("unconnected", 6, 4, 1_000);
        assertThat(next(Set.of("old"), 1_200)).isEmpty();
    }

    @Test
    void testSilentPeerIsAskedAgainOnlyAfterAllOthers() {
        catchUp.reported("a", 5, 4, 1_000);
        catchUp.reported("b", 5, 4, 1_000);
        Set<String> both = Set.of("a", "b");
        Optional<String> first = next(both, 1_200);
        assertThat(next(both, 1_300)).isEmpty();
        assertThat(next(both, 1_500)).isPresent().isNotEqualTo(first);
        assertThat(next(both, 1_800)).isPresent();
    }

    @Test
    void testNextPeerIsAskedAtOnceAfterARefusal() {
        catchUp.reported("a", 5, 4, 1_000);
        catchUp.reported("b", 5, 4, 1_000);
        Set<String> both = Set.of("a", "b");
        Optional<String> first = next(both, 1_200);
        catchUp.declined();
        assertThat(next(both, 1_201)).isPresent().isNotEqualTo(first);
    }

    /** Returns whether the only peer is asked when it reports a version. */
    private boolean requests(long peerVersion, long ownVersion, long now) {
        catchUp.reported("peer", peerVersion, ownVersion, now);
        return catchUp.nextPeer(ownVersion, each -> true, now).isPresent();
    }

    private Optional<String> next(Set<String> connected, long now) {
        return catchUp.nextPeer(4, connected::contains, now);
    }
}
