package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareCounts;

/**
 * Guards against attributing the requests and the prompt cache of a former incarnation to a target
 * that restarts under the same id before its directory entry expires.
 */
final class TargetIncarnationTest {

    private static final String PEER = "peer";

    private static final long PART = 17;

    private final GatewayCore core =
            GatewayCores.of(
                    Eventloop.builder().withTimeProvider(() -> 1).withCurrentThread().build());

    private final ReportReceiver receiver = new ReportReceiver(core);

    private int tries;

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(new EngineCapacity(4, 100_000, true)));
        updateDirectory(target(5, false));
    }

    @Test
    void testRestartedTargetHasNoRequestsAndAnEmptyPromptCache() {
        load().sent(new RunningRequest(100, 100, 1, 0));
        load().promptCache().put(PART, 100, 100_000);
        load().health().suspend(1, 60_000);
        updateDirectory(target(6, false));
        assertThat(load().totalLoad(1)).isEqualTo(LoadSums.NONE);
        assertThat(load().promptCache().isEmpty()).isTrue();
        assertThat(load().health().isAvailable(1)).isTrue();
    }

    @Test
    void testEndOfARequestOfAFormerIncarnationDoesNotChangeTheLoad() {
        TargetLoad former = load();
        RunningRequest request = new RunningRequest(100, 100, 1, 0);
        former.sent(request);
        updateDirectory(target(6, false));
        load().sent(new RunningRequest(5, 7, 1, 0));
        former.ended(request);
        assertThat(load().totalLoad(1)).isEqualTo(new LoadSums(1, 5, 7));
    }

    @Test
    void testPeerReportsOnAFormerIncarnationAreIgnored() {
        String former = incarnation();
        updateDirectory(target(6, false));
        receiver.apply(report(former, true));
        assertThat(load().totalLoad(1)).isEqualTo(LoadSums.NONE);
        assertThat(load().promptCache().isEmpty()).isTrue();
        assertThat(core.targets().draining()).isEmpty();
    }

    @Test
    void testDrainedTargetAcceptsRequestsAfterARestart() {
        core.targets().markDrainingByPeer(incarnation(), 1);
        updateDirectory(target(5, true));
        updateDirectory(target(6, false));
        assertThat(core.targets().available(TargetSelector.of(GatewayCores.SERVICE), List.of(), 1))
                .hasSize(1);
    }

    @Test
    void testTargetWithANewAddressHasNewConnections() {
        KnownTarget former = core.targets().find("t").orElseThrow();
        DirectoryTarget entry = target(5, false);
        updateDirectory(
                new DirectoryTarget(
                        entry.id(),
                        entry.startMillis(),
                        entry.service(),
                        IpAddress.of("127.0.0.1:2"),
                        entry.failureDomain(),
                        entry.slots(),
                        entry.draining()));
        assertThat(core.targets().find("t").orElseThrow().connections())
                .isNotSameAs(former.connections());
    }

    /**
     * A restart whose start time is earlier, because the target's clock was set back, counts as a
     * restart.
     */
    @Test
    void testEarlierStartTimeIsARestart() {
        load().sent(new RunningRequest(100, 100, 1, 0));
        updateDirectory(target(4, false));
        assertThat(load().totalLoad(1)).isEqualTo(LoadSums.NONE);
    }

    /**
     * Applies starts from the directory and reports of peers in any order. Loads and cached prompt
     * parts count only if reported for the current incarnation since it was listed; draining is
     * final for an incarnation, so it counts whenever it was reported.
     */
    @Property(tries = 300, seed = "35")
    void testOnlyReportsOnTheCurrentIncarnationCount(
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 7) Integer> steps) {
        start();
        // Tries share the core, so each uses its own start times.
        long first = 100L * ++tries;
        updateDirectory(target(first, false));
        long current = first;
        boolean loaded = false;
        boolean cached = false;
        Set<Long> draining = new HashSet<>();
        for (int step : steps) {
            long startMillis = first + step % 4;
            if (step < 4) {
                loaded &= startMillis == current;
                cached &= startMillis == current;
                current = startMillis;
                updateDirectory(target(startMillis, false));
            } else {
                receiver.apply(report(target(startMillis, false).incarnation(), true));
                // A report is complete: targets that it omits have no load.
                loaded = startMillis == current;
                cached |= startMillis == current;
                draining.add(startMillis);
            }
            assertThat(load().totalLoad(1).requests()).isEqualTo(loaded ? 1 : 0);
            assertThat(load().promptCache().isEmpty()).isEqualTo(!cached);
            assertThat(core.targets().draining()).hasSize(draining.contains(current) ? 1 : 0);
        }
    }

    private String incarnation() {
        return load().target().incarnation();
    }

    private TargetLoad load() {
        return core.targets().find("t").orElseThrow().load();
    }

    private void updateDirectory(DirectoryTarget target) {
        core.targets().update(Map.of("t", target), 1);
    }

    /** Builds a peer's report of a request at a target that caches a part. */
    private static GatewayReport report(String incarnation, boolean draining) {
        return new GatewayReport(
                PEER,
                1,
                1,
                List.of(new TargetLoadReport(incarnation, new LoadSums(1, 5, 7))),
                ShareCounts.NONE,
                List.of(new CachedPartUpdate(incarnation, PART, 100)),
                draining ? List.of(incarnation) : List.of(),
                List.of());
    }

    private static DirectoryTarget target(long startMillis, boolean draining) {
        return new DirectoryTarget(
                "t",
                OptionalLong.of(startMillis),
                GatewayCores.SERVICE,
                IpAddress.of("127.0.0.1:1"),
                "x",
                4,
                draining);
    }
}
