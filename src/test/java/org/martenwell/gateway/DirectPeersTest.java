package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.GatewayMember;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.PeerListener;
import org.martenwell.peer.PeerNetwork;

/**
 * Guards against connections that end while requests use them, as at the start of a drain, and
 * against ones that stay for ever.
 */
final class DirectPeersTest {

    private static final long IDLE_MILLIS = 10_000;

    private long nowMillis = 1_000;

    private int connects;

    private final Set<String> used = new HashSet<>();

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final DirectPeers peers =
            new DirectPeers(
                    "self",
                    new PeerNetwork(
                            loop, "127.0.0.1:1", "key", new Random(1), new IgnoringListener()),
                    () -> nowMillis,
                    () -> connects++);

    DirectPeersTest() {
        peers.inUse(used::contains);
    }

    @Test
    void testUnusedGatewaysNeedNoConnection() {
        members("a", "b");
        assertThat(peers.required()).isEmpty();
    }

    @Test
    void testConnectionIsOpenedOnceAndEndsWhenItIsNoLongerUsed() {
        members("a", "b");
        assertThat(peers.prepare("a")).isFalse();
        assertThat(peers.prepare("a")).isFalse();
        assertThat(connects).isEqualTo(1);
        assertThat(peers.required()).isEqualTo(Map.of("a", "address-a"));
        nowMillis += IDLE_MILLIS;
        assertThat(peers.required()).containsOnlyKeys("a");
        used.add("a");
        nowMillis += IDLE_MILLIS;
        assertThat(peers.required()).containsOnlyKeys("a");
        used.clear();
        assertThat(peers.required()).isEmpty();
    }

    @Test
    void testConnectionToASenderIsOpenedAndEnds() {
        members("a");
        assertThat(peers.keep("a")).isTrue();
        assertThat(connects).isEqualTo(1);
        assertThat(peers.required()).containsOnlyKeys("a");
        nowMillis += IDLE_MILLIS + 1;
        assertThat(peers.required()).isEmpty();
    }

    @Test
    void testGatewayThatShutsDownStaysConnectedWhileItIsUsed() {
        members("a", "b");
        peers.prepare("a");
        peers.keep("b");
        used.add("a");
        members();
        assertThat(peers.required()).containsOnlyKeys("a", "b");
        nowMillis += IDLE_MILLIS + 1;
        assertThat(peers.required()).containsOnlyKeys("a");
        used.clear();
        assertThat(peers.required()).isEmpty();
        assertThat(peers.keep("a")).isFalse();
    }

    /** A request that was under way when its gateway left the list needs a response. */
    @Test
    void testAddressIsRememberedBehindTheDeparture() {
        members("a");
        members();
        assertThat(peers.keep("a")).isTrue();
        assertThat(peers.prepare("a")).isFalse();
        assertThat(peers.keep("unknown")).isFalse();
    }

    @Test
    void testAtMostFourGatewaysHelp() {
        members("a", "b", "c", "d", "e");
        for (String each : List.of("a", "b", "c", "d")) {
            peers.prepare(each);
            nowMillis++;
        }
        used.addAll(List.of("a", "b", "c", "d"));
        peers.prepare("e");
        assertThat(peers.required()).containsOnlyKeys("a", "b", "c", "d");
        assertThat(connects).isEqualTo(4);
    }

    /** Guards against gateways without capacity that keep others from helping. */
    @Test
    void testGatewayWithoutRequestsGivesWayToAnother() {
        members("a", "b", "c", "d", "e");
        for (String each : List.of("a", "b", "c", "d")) {
            peers.prepare(each);
            nowMillis++;
        }
        used.add("a");
        peers.prepare("e");
        assertThat(peers.required()).containsOnlyKeys("a", "c", "d", "e");
    }

    @Test
    void testGatewayOfAnEarlierBuildIsNotConnected() {
        peers.members(
                List.of(
                        new GatewayMember(
                                "a", "x", "address-a", 1, GatewayMember.ORIGIN_PROTOCOL)));
        assertThat(peers.prepare("a")).isFalse();
        assertThat(connects).isZero();
        assertThat(peers.required()).isEmpty();
    }

    private void members(String... names) {
        List<GatewayMember> members = new ArrayList<>();
        members.add(new GatewayMember("self", "x", "address-self", 1));
        for (String each : names) {
            members.add(new GatewayMember(each, "x", "address-" + each, 1));
        }
        peers.members(members);
    }

    /** Ignores all events. */
    private static final class IgnoringListener implements PeerListener {

        @Override
        public void receive(PeerMessage message) {}

        @Override
        public void peerConnected(String peer) {}
    }
}
