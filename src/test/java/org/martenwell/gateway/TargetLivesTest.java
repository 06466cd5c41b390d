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
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.PlacedPart;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareCounts;

/**
 * A target may crash and start again under its id before its entry in the directory lapses. A
 * gateway then went on to count the requests and kept prompts of its former life, and took words of
 * peers about that life for the present one, since all of these were kept by id. Requests were
 * placed by prompts that nobody kept.
 */
final class TargetLivesTest {

    private static final String PEER = "peer";

    private static final long PART = 17;

    private final GatewayCore core =
            GatewayCores.of(
                    Eventloop.builder().withTimeProvider(() -> 1).withCurrentThread().build());

    private final ReportIntake intake = new ReportIntake(core);

    /** How many tries of the property began. */
    private int tries;

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(new EngineCapacity(4, 100_000, true)));
        tell(target(5, false));
    }

    @Test
    void testTargetThatStartedAgainHasNoRequestsAndKeepsNothing() {
        load().sent(new RunningRequest(100, 100, 1, 0));
        load().memory().keep(PART, 100, 100_000);
        load().health().close(1, 60_000);
        tell(target(6, false));
        assertThat(load().all(1)).isEqualTo(LoadSums.NONE);
        assertThat(load().memory().isEmpty()).isTrue();
        assertThat(load().health().open(1)).isTrue();
    }

    @Test
    void testEndOfARequestOfTheFormerLifeChangesNothingOfThePresentOne() {
        TargetLoad former = load();
        RunningRequest request = new RunningRequest(100, 100, 1, 0);
        former.sent(request);
        tell(target(6, false));
        load().sent(new RunningRequest(5, 7, 1, 0));
        former.ended(request);
        assertThat(load().all(1)).isEqualTo(new LoadSums(1, 5, 7));
    }

    @Test
    void testWordsOfPeersAboutTheFormerLifeDoNotCount() {
        String former = life();
        tell(target(6, false));
        intake.take(report(former, true));
        assertThat(load().all(1)).isEqualTo(LoadSums.NONE);
        assertThat(load().memory().isEmpty()).isTrue();
        assertThat(core.targets().leaving()).isEmpty();
    }

    @Test
    void testTargetThatLeftAndStartedAgainTakesRequests() {
        core.targets().leavingByPeer(life(), 1);
        tell(target(5, true));
        tell(target(6, false));
        assertThat(core.targets().open(GatewayCores.SERVICE, List.of(), 1)).hasSize(1);
    }

    @Test
    void testTargetThatMovedHasNoConnectionsToItsFormerAddress() {
        KnownTarget former = core.targets().find("t").orElseThrow();
        DirectoryTarget present = target(5, false);
        tell(
                new DirectoryTarget(
                        present.id(),
                        present.bornMillis(),
                        present.service(),
                        IpAddress.of("127.0.0.1:2"),
                        present.failureDomain(),
                        present.slots(),
                        present.leaving()));
        assertThat(core.targets().find("t").orElseThrow().connections())
                .isNotSameAs(former.connections());
    }

    /** The clock of a target may be set back, so that its last start seems to be an earlier one. */
    @Test
    void testStartThatSeemsEarlierIsAStartToo() {
        load().sent(new RunningRequest(100, 100, 1, 0));
        tell(target(4, false));
        assertThat(load().all(1)).isEqualTo(LoadSums.NONE);
    }

    /**
     * Lets the directory tell of starts and peers tell of any of them, in any order. Of loads and
     * kept prompts counts what was told of the present life since it was known. A life that leaves
     * never takes that back, so that counts whenever it was told.
     */
    @Property(tries = 300, seed = "35")
    void testOnlyWordsAboutThePresentLifeCount(
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 7) Integer> steps) {
        start();
        // Tries share the core, so each has lives of its own.
        long first = 100L * ++tries;
        tell(target(first, false));
        long present = first;
        boolean loaded = false;
        boolean told = false;
        Set<Long> leaving = new HashSet<>();
        for (int step : steps) {
            long born = first + step % 4;
            if (step < 4) {
                loaded &= born == present;
                told &= born == present;
                present = born;
                tell(target(born, false));
            } else {
                intake.take(report(target(born, false).life(), true));
                // A report is whole: the load of what it does not name is over.
                loaded = born == present;
                told |= born == present;
                leaving.add(born);
            }
            assertThat(load().all(1).requests()).isEqualTo(loaded ? 1 : 0);
            assertThat(load().memory().isEmpty()).isEqualTo(!told);
            assertThat(core.targets().leaving()).hasSize(leaving.contains(present) ? 1 : 0);
        }
    }

    private String life() {
        return load().target().life();
    }

    private TargetLoad load() {
        return core.targets().find("t").orElseThrow().load();
    }

    private void tell(DirectoryTarget target) {
        core.targets().update(Map.of("t", target));
    }

    /** Returns a peer's word that it has a request at a target, which keeps a part. */
    private static GatewayReport report(String life, boolean leaving) {
        return new GatewayReport(
                PEER,
                1,
                1,
                List.of(new TargetLoadReport(life, new LoadSums(1, 5, 7))),
                ShareCounts.NONE,
                List.of(new PlacedPart(life, PART, 100)),
                leaving ? List.of(life) : List.of(),
                List.of());
    }

    private static DirectoryTarget target(long bornMillis, boolean leaving) {
        return new DirectoryTarget(
                "t",
                OptionalLong.of(bornMillis),
                GatewayCores.SERVICE,
                IpAddress.of("127.0.0.1:1"),
                "x",
                4,
                leaving);
    }
}
