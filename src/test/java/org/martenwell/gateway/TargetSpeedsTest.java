package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.EngineDemand;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.TargetSpeedReport;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.directory.GatewayMember;
import org.martenwell.prompt.PromptChain;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.settings.GatewayFeature;

/** Tests which responses are samples of speeds, and what notices of peers change. */
final class TargetSpeedsTest {

    private static final EngineCapacity CAPACITY = new EngineCapacity(4, 100_000, true);

    /** The time in which an engine of half the usual speed serves the request, in milliseconds. */
    private static final long SLOW_MILLIS = 245;

    private static final long STEP_MILLIS = 25;

    private static final long PROMPT_TOKENS = 6_580;

    private long nowMillis = 1_000_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final GatewayCore core = GatewayCores.of(loop, Set.of(GatewayFeature.TARGET_SPEEDS));

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(CAPACITY));
        list(core, 1);
        core.capacities().members(List.of(member(GatewayMember.OFFLOAD_PROTOCOL)));
        loop.post(core.clock()::start);
        loop.post(core.loopLag()::start);
        loop.run();
    }

    @Test
    void testFirstAttemptWithoutBacklogIsASample() {
        serve(routing(core), choice(0, Optional.empty()));
        List<TargetSpeedReport> reports = takeReports(core);
        assertThat(reports).hasSize(1);
        assertThat(reports.get(0).target()).isEqualTo("one@1");
        assertThat(reports.get(0).samples()).isEqualTo(1);
        assertThat(reports.get(0).logSumThousandths()).isBetween(-800L, -600L);
    }

    /** Guards against engines that count as slow because their requests had to wait there. */
    @Test
    void testRequestBehindABacklogIsNoSample() {
        serve(routing(core), choice(20, Optional.empty()));
        assertThat(takeReports(core)).isEmpty();
    }

    /** Guards against the time of an earlier attempt that still runs at the same engine. */
    @Test
    void testRetryIsNoSample() {
        EngineRouting routing = routing(core);
        routing.recordSent(choice(0, Optional.empty()));
        routing.rollBackSent();
        serve(routing, choice(0, Optional.empty()));
        assertThat(takeReports(core)).isEmpty();
    }

    /** Guards against engines that count as slow because cached parts were copied to them. */
    @Test
    void testCopyOfCachedPartsIsNoSample() {
        serve(routing(core), choice(0, Optional.of(load(core, "two"))));
        assertThat(takeReports(core)).isEmpty();
    }

    /** Guards against engines that count as slow because this gateway was late. */
    @Test
    void testResponseToALateLoopIsNoSample() {
        EngineRouting routing = routing(core);
        EngineChoice choice = choice(0, Optional.empty());
        routing.recordSent(choice);
        turn(300);
        routing.recordResponseStart(routing.running(choice), SLOW_MILLIS);
        assertThat(takeReports(core)).isEmpty();
    }

    /** Guards against samples of a loop with many short delays, which no single one reveals. */
    @Test
    void testResponseToABusyLoopIsNoSample() {
        EngineRouting routing = routing(core);
        EngineChoice choice = choice(0, Optional.empty());
        routing.recordSent(choice);
        for (int turn = 0; turn < 20; turn++) {
            turn(STEP_MILLIS + 15);
        }
        routing.recordResponseStart(routing.running(choice), SLOW_MILLIS);
        assertThat(takeReports(core)).isEmpty();
    }

    /** Guards against engines that are never free of a backlog and thus have no samples. */
    @Test
    void testIntervalsBetweenEventsAreSamples() {
        for (int response = 0; response < 4; response++) {
            receiveEvents("two", 25);
        }
        takeReports(core);
        receiveEvents("one", 50);
        advance(100);
        List<TargetSpeedReport> reports = takeReports(core);
        assertThat(reports).hasSize(1);
        assertThat(reports.get(0).target()).isEqualTo("one@1");
        assertThat(reports.get(0).samples()).isEqualTo(1);
        assertThat(reports.get(0).logSumThousandths()).isBetween(-720L, -660L);
    }

    /** Guards against engines that count as slow because this gateway was late. */
    @Test
    void testIntervalsAtABusyLoopAreNoSamples() {
        for (int response = 0; response < 4; response++) {
            receiveEvents("two", 25);
        }
        takeReports(core);
        EngineRouting routing = routing(core);
        routing.recordSent(choice(20, Optional.empty()));
        for (int event = 0; event <= 20; event++) {
            routing.recordEvents();
            turn(STEP_MILLIS + 15);
        }
        assertThat(takeReports(core)).isEmpty();
    }

    /** Receives a response of seven events, which is one sample. */
    private void receiveEvents(String engine, long intervalMillis) {
        EngineRouting routing = routing(core);
        routing.recordSent(
                new EngineChoice(load(core, engine), PROMPT_TOKENS, 20, Optional.empty(), 0));
        for (int event = 0; event <= 6; event++) {
            routing.recordEvents();
            advance(intervalMillis);
        }
    }

    @Test
    void testSpeedsAreLearntFromPeersAndShownInMetrics() {
        learn(core);
        assertThat(load(core, "one").speed().factor()).isBetween(0.6, 0.8);
        assertThat(load(core, "two").speed().factor()).isBetween(1.3, 1.6);
        TargetSpeeds speeds = core.targetSpeeds().orElseThrow();
        assertThat(speeds.slowestThousandths()).isBetween(600L, 800L);
        assertThat(speeds.fastestThousandths()).isBetween(1_300L, 1_600L);
    }

    /** Guards against a target that inherits the speed of the one it replaces. */
    @Test
    void testTargetThatStartsAgainIsANewOne() {
        learn(core);
        list(core, 2);
        assertThat(load(core, "one").speed().factor()).isEqualTo(1);
        learn(core);
        assertThat(load(core, "one").speed().factor()).isEqualTo(1);
    }

    /** Guards against speeds that only a part of the fleet uses. */
    @Test
    void testAllSpeedsAreOneBesideGatewaysOfThePreviousBuild() {
        learn(core);
        core.capacities().members(List.of(member(GatewayMember.OFFLOAD_PROTOCOL - 1)));
        advance(STEP_MILLIS * 10);
        core.targetSpeeds().orElseThrow().update();
        assertThat(load(core, "one").speed().factor()).isEqualTo(1);
        serve(routing(core), choice(0, Optional.empty()));
        learn(core);
        assertThat(load(core, "one").speed().factor()).isEqualTo(1);
        core.capacities().members(List.of(member(GatewayMember.OFFLOAD_PROTOCOL)));
        assertThat(takeReports(core)).isEmpty();
    }

    /** Guards against a feature that has an effect although it is not enabled. */
    @Test
    void testWithoutTheFeatureNothingIsLearntOrReported() {
        GatewayCore plain = GatewayCores.of(loop);
        plain.configure(GatewayCores.configuration(CAPACITY));
        list(plain, 1);
        plain.capacities().members(List.of(member(GatewayMember.OFFLOAD_PROTOCOL)));
        learn(plain);
        assertThat(load(plain, "one").speed().factor()).isEqualTo(1);
        EngineRouting routing = routing(plain);
        EngineChoice choice = new EngineChoice(load(plain, "one"), 6_580, 0, Optional.empty(), 0);
        routing.recordSent(choice);
        routing.recordResponseStart(routing.running(choice), SLOW_MILLIS);
        assertThat(plain.capacities().next(nowMillis)).isEmpty();
    }

    /** Lets a peer report that engine one takes twice as long as the other. */
    private void learn(GatewayCore learner) {
        for (int part = 0; part < 5; part++) {
            learner.capacities()
                    .receive(
                            new CapacityNotice(
                                    "peer",
                                    0,
                                    List.of(
                                            new TargetSpeedReport("one@1", 3, -2_100),
                                            new TargetSpeedReport("two@1", 3, 0))));
            advance(STEP_MILLIS * 10);
            learner.targetSpeeds().ifPresent(TargetSpeeds::update);
        }
    }

    private void serve(EngineRouting routing, EngineChoice choice) {
        routing.recordSent(choice);
        advance(STEP_MILLIS * 8);
        routing.recordResponseStart(routing.running(choice), SLOW_MILLIS);
    }

    private EngineRouting routing(GatewayCore owner) {
        EngineDemand demand =
                new EngineDemand("o", PromptChain.EMPTY, PROMPT_TOKENS, 10, 800, owner.now());
        return new EngineRouting(owner, demand, CAPACITY, GatewayCores.SERVICE);
    }

    private EngineChoice choice(double backlogMillis, Optional<TargetLoad> copyFrom) {
        return new EngineChoice(load(core, "one"), PROMPT_TOKENS, backlogMillis, copyFrom, 0);
    }

    private List<TargetSpeedReport> takeReports(GatewayCore owner) {
        return owner.capacities().next(nowMillis).orElseThrow().speeds();
    }

    private static TargetLoad load(GatewayCore owner, String id) {
        return owner.targets().find(id).orElseThrow().load();
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            turn(STEP_MILLIS);
        }
    }

    /** Lets the loop turn once after a time. */
    private void turn(long millis) {
        nowMillis += millis;
        loop.post(() -> {});
        loop.run();
    }

    private static GatewayMember member(int protocol) {
        return new GatewayMember("self", "x", "127.0.0.1:1", 1, protocol);
    }

    private static void list(GatewayCore owner, long startMillis) {
        Map<String, DirectoryTarget> targets = new HashMap<>();
        for (String id : List.of("one", "two")) {
            targets.put(
                    id,
                    new DirectoryTarget(
                            id,
                            OptionalLong.of(startMillis),
                            GatewayCores.SERVICE,
                            IpAddress.of("127.0.0.1:" + (id.equals("one") ? 1 : 2)),
                            "x",
                            CAPACITY.slots(),
                            false));
        }
        owner.targets().update(targets, 0);
    }
}
