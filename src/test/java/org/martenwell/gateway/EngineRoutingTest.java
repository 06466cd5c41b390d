package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.EngineDemand;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.RefusalReason;
import org.martenwell.share.ShareSums;
import org.martenwell.share.ShareTier;

/**
 * Tests routing when no engine has capacity, and the rollback of cache entries and charges after
 * failed attempts.
 */
final class EngineRoutingTest {

    private static final int SLOTS = 4;

    private static final EngineCapacity CAPACITY = new EngineCapacity(SLOTS, 100_000, true);

    /** The promised capacity of the fleet, in tokens per second. */
    private static final long PROMISED_TOKENS = 10_000;

    /** The cost of the request, in tokens of capacity. */
    private static final double COST = 5_029;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> 1).withCurrentThread().build();

    private final GatewayCore core = GatewayCores.of(loop);

    private final PromptChain chain =
            PromptChain.of("m", List.of(new PromptPart("shared", 5_000), new PromptPart("own", 9)));

    private final EngineRouting routing =
            new EngineRouting(
                    core,
                    new EngineDemand("o", chain, 5_009, 10, 400, core.now()),
                    CAPACITY,
                    GatewayCores.SERVICE);

    private final List<TargetLoad> loads = new ArrayList<>();

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(CAPACITY));
        core.targets().update(Map.of("one", target("one"), "two", target("two")), 0);
        core.targets().all().forEach(each -> loads.add(each.load()));
        loads.sort((one, two) -> one.target().id().compareTo(two.target().id()));
    }

    @Test
    void testRetryWithoutCapacityCopiesCachedPrompt() {
        fill(loads.get(0), SLOTS);
        fill(loads.get(1), SLOTS + 1);
        loads.get(1).promptCache().put(chain, 100_000);
        EngineChoice choice = routing.decide(loads, 1, null).choice().orElseThrow();
        assertThat(choice.load()).isSameAs(loads.get(0));
        assertThat(choice.copyFrom()).contains(loads.get(1));
        assertThat(choice.prefillTokens()).isEqualTo(9);
    }

    /** Guards against retries of all gateways at one engine after the failure of many others. */
    @Test
    void testRetriesBesideManyGatewaysUseAllEngines() {
        fill(loads.get(0), SLOTS);
        fill(loads.get(1), SLOTS + 1);
        core.updateFleet(91, 300);
        routing.recordSent(choice(loads.get(0)));
        Set<TargetLoad> chosen = new HashSet<>();
        for (int retry = 0; retry < 100; retry++) {
            chosen.add(routing.decide(loads, 1, null).choice().orElseThrow().load());
        }
        assertThat(chosen).containsExactlyInAnyOrderElementsOf(loads);
    }

    @Test
    void testFirstAttemptWithoutCapacityWaitsAndIsThenRefused() {
        fill(loads.get(0), SLOTS);
        fill(loads.get(1), SLOTS);
        EngineRouting.Decision waiting = routing.decide(loads, 0, GatewayCores.route(60_000));
        assertThat(waiting.choice()).isEmpty();
        assertThat(waiting.refusal()).isEmpty();
        EngineRouting.Decision refused = routing.decide(loads, 0, GatewayCores.route(0));
        assertThat(refused.refusal()).contains(RefusalReason.ENGINES_FULL);
    }

    @Test
    void testCacheEntriesAreRolledBackOnlyBeforeResponseStart() {
        routing.recordSent(choice(loads.get(0)));
        routing.rollBackSent();
        assertThat(loads.get(0).promptCache().cachedTokens(chain)).isZero();
        routing.recordSent(choice(loads.get(0)));
        routing.recordResponseStart(new RunningRequest(5_009, 10, core.now(), 0), 0);
        routing.rollBackSent();
        assertThat(loads.get(0).promptCache().cachedTokens(chain)).isEqualTo(5_000);
    }

    /** Guards against charging the organisation once for each unreachable engine. */
    @Test
    void testRequestIsChargedOnceAfterUnreachableEngines() {
        routing.recordDemand();
        for (int engine = 0; engine < 3; engine++) {
            routing.recordSent(choice(loads.get(engine % 2)));
            routing.rollBackSent();
        }
        routing.recordSent(choice(loads.get(0)));
        assertThat(chargedTokens()).isEqualTo(COST);
    }

    /** Guards against charging the organisation at each gateway that has served the request. */
    @Test
    void testRequestThatAnotherGatewayChargedIsNotChargedAgain() {
        routing.chargedElsewhere();
        routing.recordDemand();
        routing.recordSent(choice(loads.get(0)));
        routing.rollBackSent();
        routing.recordSent(choice(loads.get(1)));
        assertThat(chargedTokens()).isZero();
    }

    @Test
    void testRequestThatNoEngineServedIsNotCharged() {
        routing.recordDemand();
        routing.recordSent(choice(loads.get(0)));
        routing.rollBackSent();
        assertThat(chargedTokens()).isZero();
    }

    @Test
    void testRequestThatFailedAfterResponseStartStaysCharged() {
        routing.recordDemand();
        routing.recordSent(choice(loads.get(0)));
        routing.recordResponseStart(new RunningRequest(5_009, 10, core.now(), 0), 0);
        routing.rollBackSent();
        routing.recordSent(choice(loads.get(1)));
        assertThat(chargedTokens()).isEqualTo(COST);
    }

    /** Guards against a refund for a request that goes on at the engine that was kept. */
    @Test
    void testRequestStaysChargedIfItGoesOnAtAnEngineThatWasKept() {
        routing.recordDemand();
        routing.recordSent(choice(loads.get(0)));
        routing.keepSent();
        routing.recordSent(choice(loads.get(1)));
        routing.resumeKept();
        assertThat(chargedTokens()).isEqualTo(COST);
        assertThat(loads.get(0).promptCache().cachedTokens(chain)).isEqualTo(5_000);
        assertThat(loads.get(1).promptCache().cachedTokens(chain)).isZero();
        routing.rollBackSent();
        assertThat(chargedTokens()).isZero();
    }

    @Test
    void testRequestIsChargedOnceIfAnEngineThatWasKeptIsLeft() {
        routing.recordDemand();
        routing.recordSent(choice(loads.get(0)));
        routing.keepSent();
        routing.recordSent(choice(loads.get(1)));
        routing.dropKept();
        assertThat(chargedTokens()).isEqualTo(COST);
        assertThat(loads.get(0).promptCache().cachedTokens(chain)).isZero();
        assertThat(loads.get(1).promptCache().cachedTokens(chain)).isEqualTo(5_000);
    }

    @Test
    void testRequestBeyondShareDoesNotUseBusyReservedEngines() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        exceedPromisedShare();
        EngineChoice beyond = routing.decide(loads, 0, GatewayCores.route(400)).choice().get();
        List<TargetLoad> unreserved = core.reserve().unreserved(loads, core.tokensWithinShares());
        assertThat(unreserved).containsExactly(beyond.load());
        fill(beyond.load(), SLOTS);
        TargetLoad reserved = loads.get(loads.indexOf(beyond.load()) == 0 ? 1 : 0);
        fill(reserved, 1);
        assertThat(routing.decide(loads, 0, GatewayCores.route(400)).choice()).isEmpty();
    }

    @Test
    void testRequestBeyondPromisedShareUsesIdleReservedEngine() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        exceedPromisedShare();
        EngineChoice unreserved = routing.decide(loads, 0, GatewayCores.route(400)).choice().get();
        fill(unreserved.load(), SLOTS);
        EngineRouting.Decision decision = routing.decide(loads, 0, GatewayCores.route(400));
        assertThat(decision.use().tier()).isEqualTo(ShareTier.OBSERVED);
        assertThat(decision.choice().get().load()).isNotSameAs(unreserved.load());
    }

    @Test
    void testRequestBeyondShareIsRefusedIfAllEnginesAreReserved() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        exceedPromisedShare();
        core.reserve().sent(1e9, 1);
        loads.forEach(each -> fill(each, 1));
        EngineRouting.Decision refused = routing.decide(loads, 0, GatewayCores.route(60_000));
        assertThat(refused.use().tier()).isNotEqualTo(ShareTier.PROMISED);
        assertThat(refused.refusal()).contains(RefusalReason.RESERVE);
    }

    /** Guards against refusing a stream that the fleet admitted for the share of its caller. */
    @Test
    void testContinuedStreamBeyondShareUsesReservedEngine() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        exceedPromisedShare();
        core.reserve().sent(1e9, 1);
        loads.forEach(each -> fill(each, 1));
        assertThat(routing.decide(loads, 0, GatewayCores.route(60_000)).refusal()).isPresent();
        routing.takePrecedence("v1");
        assertThat(routing.decide(loads, 0, GatewayCores.route(60_000)).choice()).isPresent();
    }

    @Test
    void testContinuedStreamBeyondShareWaitsForAnEngine() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        exceedPromisedShare();
        loads.forEach(each -> fill(each, SLOTS));
        routing.takePrecedence("v1");
        EngineRouting.Decision decision = routing.decide(loads, 0, GatewayCores.route(60_000));
        assertThat(decision.choice()).isEmpty();
        assertThat(decision.refusal()).isEmpty();
    }

    /** Guards against callers who get past their share by streams that they take up. */
    @Test
    void testContinuedStreamIsChargedToTheShareOfNewOnes() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        exceedPromisedShare();
        double before = core.shares().own(core.now()).sums().get("o").withinShare();
        routing.takePrecedence("v1");
        routing.recordDemand();
        EngineChoice choice = routing.decide(loads, 0, GatewayCores.route(400)).choice().get();
        routing.recordSent(choice);
        assertThat(core.shares().own(core.now()).sums().get("o").withinShare())
                .isEqualTo(before + COST);
    }

    /** Returns the organisation's charged tokens as reported to peers. */
    private double chargedTokens() {
        ShareSums sums = core.shares().own(core.now()).sums().get("o");
        return sums == null ? 0 : sums.sent();
    }

    /** Makes the organisation use more than the promised capacity of the fleet. */
    private void exceedPromisedShare() {
        core.shares().requested("o", 10 * PROMISED_TOKENS, core.now());
        core.shares().sent("o", 10 * PROMISED_TOKENS, ShareTier.PROMISED, core.now());
    }

    private static void fill(TargetLoad load, int requests) {
        for (int request = 0; request < requests; request++) {
            load.sent(new RunningRequest(0, 0, 0, 0));
        }
    }

    private static EngineChoice choice(TargetLoad load) {
        return new EngineChoice(load, 5_009, 0, Optional.empty(), 0);
    }

    private static DirectoryTarget target(String id) {
        return new DirectoryTarget(
                id,
                OptionalLong.of(1),
                GatewayCores.SERVICE,
                IpAddress.of("127.0.0.1:1"),
                "x",
                SLOTS,
                false);
    }
}
