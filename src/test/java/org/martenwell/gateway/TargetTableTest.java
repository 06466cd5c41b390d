package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.peer.TargetNotice;
import org.martenwell.route.WarmUpLimit;
import org.martenwell.service.IpAddress;

/**
 * Tests targets that a peer reports as draining. Guards against every gateway reading the directory
 * again for each such target, although the directory's watch delivers the change.
 */
final class TargetTableTest {

    /** Longer than the directory may lag behind peers, in milliseconds. */
    private static final long LAG_MILLIS = 2_000;

    private final TargetTable table =
            new TargetTable(
                    Eventloop.builder().withCurrentThread().build(),
                    "self",
                    new TargetCrashListener(target -> {}));

    @BeforeEach
    void start() {
        table.update(Map.of("one", target("one", false), "two", target("two", false)), 0);
        table.markDrainingByPeer("one@1", 0);
    }

    /** Guards against a cost of connections where the feature is off. */
    @Test
    void testConnectionsAreNotAskedForUnlessEnabled() {
        assertThat(table.find("two").orElseThrow().load().hasIdleConnection()).isTrue();
    }

    /** Guards against choosers that take each target for one with an open connection. */
    @Test
    void testListedTargetHasNoIdleConnection() {
        table.preferIdleConnections();
        assertThat(table.find("two").orElseThrow().load().hasIdleConnection()).isFalse();
    }

    @Test
    void testDrainingTargetAcceptsNoRequests() {
        assertThat(table.available(TargetSelector.of("service"), List.of(), 0))
                .extracting(load -> load.target().id())
                .containsExactly("two");
        assertThat(table.draining()).containsExactly("one@1");
    }

    @Test
    void testDirectoryThatConfirmsInTimeIsNotReadAgain() {
        assertThat(table.detectStaleDirectory(100)).isFalse();
        table.update(Map.of("one", target("one", true), "two", target("two", false)), 0);
        assertThat(table.detectStaleDirectory(LAG_MILLIS)).isFalse();
    }

    @Test
    void testDirectoryThatDoesNotConfirmIsReadAgainOnce() {
        assertThat(table.detectStaleDirectory(LAG_MILLIS)).isTrue();
        assertThat(table.detectStaleDirectory(LAG_MILLIS + 1)).isFalse();
        table.markDrainingByPeer("one@1", LAG_MILLIS);
        assertThat(table.detectStaleDirectory(3 * LAG_MILLIS)).isFalse();
    }

    @Test
    void testRemovedTargetIsNotDraining() {
        table.update(Map.of("two", target("two", false)), 0);
        assertThat(table.detectStaleDirectory(LAG_MILLIS)).isFalse();
        assertThat(table.draining()).isEmpty();
    }

    /**
     * Guards against a long-lived target being evicted from the bounded map of availabilities,
     * after which its draining would be recorded in an unused object.
     */
    @Test
    void testEvictedTargetStillDrains() {
        for (int other = 0; other < 3_000; other++) {
            table.markDrainingByPeer("other-" + other + "@1", 0);
        }
        table.update(Map.of("one", target("one", false), "two", target("two", true)), 0);
        assertThat(table.available(TargetSelector.of("service"), List.of(), 0)).isEmpty();
        assertThat(table.draining()).containsExactlyInAnyOrder("one@1", "two@1");
    }

    /** Guards against requests to targets of a failure domain that the operator has evacuated. */
    @Test
    void testTargetsOfEvacuatedFailureDomainGetNoRequests() {
        table.setEvacuated(Set.of("zone"));
        assertThat(table.available(TargetSelector.of("service"), List.of(), 0)).isEmpty();
        table.setEvacuated(Set.of());
        assertThat(table.available(TargetSelector.of("service"), List.of(), 0)).hasSize(1);
    }

    /** A draining target of an evacuated failure domain must not supply cached prompt parts. */
    @Test
    void testEvacuatedTargetIsNoSourceOfCopies() {
        assertThat(table.draining("service")).hasSize(1);
        table.setEvacuated(Set.of("zone"));
        assertThat(table.draining("service")).isEmpty();
    }

    /**
     * Guards against the full load of all gateways on targets whose evacuation has just ended and
     * whose entries do not yet say that they warm up.
     */
    @Test
    void testTargetsWarmUpAfterTheirEvacuation() {
        table.setWarmUpLimits(Map.of("service", new WarmUpLimit(18, 3_000)));
        table.setEvacuated(Set.of("zone"));
        table.setEvacuated(Set.of());
        long now = System.currentTimeMillis();
        assertThat(table.available(TargetSelector.of("service"), List.of(), now)).isEmpty();
        assertThat(table.available(TargetSelector.of("service"), List.of(), now + 4_000))
                .hasSize(1);
    }

    /** Guards against requests to a departed target while the own directory can't be read. */
    @Test
    void testTargetThatAPeerReportsAsDepartedGetsNoRequests() {
        table.update(threeTargets(), 10);
        table.applyNotice(new TargetNotice("two@1", false), 20);
        assertThat(available(20)).containsExactly("three");
        table.update(threeTargets(), 15);
        assertThat(available(30)).containsExactly("three");
    }

    /** Guards against a false notice that keeps a target unused for good. */
    @Test
    void testDirectoryThatIsReadAfterTheNoticeDecides() {
        table.update(threeTargets(), 10);
        table.applyNotice(new TargetNotice("two@1", false), 20);
        table.update(threeTargets(), 20);
        assertThat(available(30)).containsExactlyInAnyOrder("two", "three");
    }

    @Test
    void testTargetThatAPeerReportsAsListedAgainGetsRequests() {
        table.update(threeTargets(), 10);
        table.applyNotice(new TargetNotice("two@1", false), 20);
        table.applyNotice(new TargetNotice("two@1", true), 30);
        assertThat(available(30)).containsExactlyInAnyOrder("two", "three");
    }

    /** Guards against a store outage, which expires most entries, being taken for departures. */
    @Test
    void testNoticesOnMostTargetsAreIgnored() {
        table.update(threeTargets(), 10);
        table.applyNotice(new TargetNotice("two@1", false), 20);
        table.applyNotice(new TargetNotice("three@1", false), 20);
        assertThat(available(30)).containsExactlyInAnyOrder("two", "three");
    }

    @Test
    void testDirectoryThatDoesNotConfirmADepartureIsReadAgainOnce() {
        table.update(Map.of("two", target("two", false), "three", target("three", false)), 10);
        table.applyNotice(new TargetNotice("two@1", false), 20);
        assertThat(table.detectStaleDirectory(100)).isFalse();
        assertThat(table.detectStaleDirectory(LAG_MILLIS)).isTrue();
        assertThat(table.detectStaleDirectory(LAG_MILLIS + 1)).isFalse();
        table.update(Map.of("two", target("two", false), "three", target("three", false)), 3_000);
        table.applyNotice(new TargetNotice("two@1", false), 4_000);
        assertThat(table.detectStaleDirectory(4_000 + LAG_MILLIS)).isTrue();
    }

    @Test
    void testPeersAreNotifiedOfDeparturesAndReturns() {
        table.listingNotices().takeNew();
        table.update(Map.of("one", target("one", false)), 10);
        assertThat(table.listingNotices().takeNew())
                .containsExactly(new TargetNotice("two@1", false));
        assertThat(table.listingNotices().takeNew()).isEmpty();
        long now = System.currentTimeMillis();
        assertThat(table.listingNotices().recent(now))
                .containsExactly(new TargetNotice("two@1", false));
        assertThat(table.listingNotices().recent(now + 120_000)).isEmpty();
        table.update(Map.of("one", target("one", false)), 20);
        table.update(Map.of("one", target("one", false), "two", target("two", false)), 30);
        assertThat(table.listingNotices().takeNew()).isEmpty();
    }

    @Test
    void testPeersAreNotifiedOfATargetThatIsListedAgain() {
        table.update(Map.of("one", target("one", false)), 10);
        table.update(Map.of("one", target("one", false), "two", target("two", false)), 20);
        assertThat(table.listingNotices().takeNew())
                .containsExactly(new TargetNotice("two@1", true));
        assertThat(table.listingNotices().recent(System.currentTimeMillis())).isEmpty();
    }

    private static Map<String, DirectoryTarget> threeTargets() {
        return Map.of(
                "one", target("one", false),
                "two", target("two", false),
                "three", target("three", false));
    }

    private List<String> available(long now) {
        return table.available(TargetSelector.of("service"), List.of(), now).stream()
                .map(load -> load.target().id())
                .toList();
    }

    private static DirectoryTarget target(String id, boolean draining) {
        return new DirectoryTarget(
                id,
                OptionalLong.of(1),
                "service",
                IpAddress.of("127.0.0.1:1"),
                "zone",
                1,
                draining);
    }
}
