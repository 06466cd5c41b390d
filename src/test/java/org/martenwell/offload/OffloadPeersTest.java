package org.martenwell.offload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.directory.GatewayMember;

/**
 * Guards against requests offloaded to gateways that can't take them: without an offer, with an old
 * one, of an earlier build, or beyond what they offered.
 */
final class OffloadPeersTest {

    private static final double WORK_MILLIS = 2.85;

    private final OffloadPeers peers = new OffloadPeers("self", "here");

    private final List<GatewayMember> members = new ArrayList<>();

    private final Random random = new Random(1);

    private long now = 10_000;

    private void member(String name, String domain) {
        members.add(new GatewayMember(name, domain, "127.0.0.1:1", 1));
        peers.members(members, now);
    }

    private void offer(String name, int spareMillis) {
        peers.noticed(new CapacityNotice(name, spareMillis, List.of()), now);
    }

    /** Sends requests at a rate for a time, and counts them by peer. */
    private Map<String, Integer> send(double perSecond, int millis, int spareMillis) {
        Map<String, Integer> counts = new HashMap<>();
        double due = 0;
        for (int step = 0; step < millis; step += 10) {
            now += 10;
            if (step % 400 == 0) {
                members.forEach(each -> offer(each.name(), spareMillis));
            }
            for (due += perSecond / 100; due >= 1; due--) {
                peers.choose(random.nextDouble(), WORK_MILLIS, now)
                        .ifPresent(each -> counts.merge(each, 1, Integer::sum));
            }
        }
        return counts;
    }

    private boolean chosen() {
        now += 200;
        return peers.choose(0.5, WORK_MILLIS, now).isPresent();
    }

    @Test
    void testOnlyPeersWithARecentOfferAreChosen() {
        member("one", "here");
        assertThat(chosen()).isFalse();
        offer("one", 300);
        assertThat(chosen()).isTrue();
        now += 1_500;
        assertThat(chosen()).isFalse();
        offer("one", 300);
        assertThat(chosen()).isTrue();
        offer("one", 0);
        assertThat(chosen()).isFalse();
    }

    @Test
    void testGatewaysOfEarlierBuildsAreNotChosen() {
        members.add(
                new GatewayMember(
                        "old", "here", "127.0.0.1:1", 1, GatewayMember.OFFLOAD_PROTOCOL - 1));
        member("self", "here");
        offer("old", 300);
        offer("self", 300);
        assertThat(chosen()).isFalse();
    }

    @Test
    void testPeersThatLeftAreNotChosen() {
        member("one", "here");
        offer("one", 300);
        assertThat(chosen()).isTrue();
        peers.members(List.of(), now);
        assertThat(chosen()).isFalse();
    }

    @Test
    void testOwnFailureDomainComesFirst() {
        member("far", "elsewhere");
        member("near", "here");
        assertThat(send(20, 4_000, 500)).containsOnlyKeys("near");
        assertThat(send(600, 4_000, 500)).containsKey("far");
    }

    @Test
    void testPeersAreExcludedAfterRejectionsAndFailures() {
        member("one", "here");
        offer("one", 300);
        peers.rejected("one", now);
        now += 700;
        offer("one", 300);
        assertThat(chosen()).isFalse();
        now += 100;
        assertThat(chosen()).isTrue();
        peers.failed("one", now);
        now += 2_700;
        offer("one", 300);
        assertThat(chosen()).isFalse();
        now += 100;
        assertThat(chosen()).isTrue();
    }

    @Test
    void testSamePeersAreUsedWhileTheyHaveTime() {
        for (int index = 0; index < 30; index++) {
            member("gateway-" + index, "here");
        }
        Set<String> used = new HashSet<>(send(100, 10_000, 500).keySet());
        assertThat(used).hasSizeBetween(1, OffloadPeers.MAX_USED);
        assertThat(used).containsAll(send(100, 10_000, 500).keySet());
    }

    /** Requests beyond what four peers offer are handled locally. */
    @Test
    void testOffersAreNotExceeded() {
        for (int index = 0; index < 4; index++) {
            member("gateway-" + index, "here");
        }
        members.forEach(each -> offer(each.name(), 100));
        int sent = 0;
        for (int step = 0; step < 100; step++) {
            now += 10;
            for (int index = 0; index < 10; index++) {
                sent += peers.choose(random.nextDouble(), WORK_MILLIS, now).isPresent() ? 1 : 0;
            }
        }
        // One second of the last offer, of which 0.6 is used, and the burst.
        assertThat(sent * WORK_MILLIS).isBetween(200.0, 400.0);
    }

    @Test
    void testDistributionIsInProportionToTheOffers() {
        member("small", "here");
        member("large", "here");
        Map<String, Integer> counts = new HashMap<>();
        for (int index = 0; index < 4_000; index++) {
            now += 100;
            offer("small", 200);
            offer("large", 600);
            // First more than one peer can take, so that both are in use.
            int requests = index < 10 ? 100 : 1;
            for (int request = 0; request < requests; request++) {
                peers.choose(random.nextDouble(), WORK_MILLIS, now)
                        .ifPresent(each -> counts.merge(each, 1, Integer::sum));
            }
        }
        assertThat(counts.get("large") / (double) counts.get("small")).isCloseTo(3, within(0.4));
    }

    /** A peer without time left is halved, so that its next offer isn't exceeded as well. */
    @Test
    void testExceededOffersAreUsedLess() {
        member("one", "here");
        int before = send(1_000, 400, 500).getOrDefault("one", 0);
        offer("one", 0);
        now += 5_000;
        int after = send(1_000, 400, 500).getOrDefault("one", 0);
        assertThat(after).isLessThan(before * 2 / 3);
    }
}
