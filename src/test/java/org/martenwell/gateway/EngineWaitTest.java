package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.Route;
import org.martenwell.route.ServiceConfiguration;
import org.martenwell.route.WarmUpLimit;
import org.martenwell.service.IpAddress;
import org.martenwell.settings.GatewayFeature;
import org.martenwell.share.RefusalReason;

/** Tests the decisions about requests that find all engines full, with and without a forecast. */
final class EngineWaitTest {

    private static final int SLOTS = 4;

    private static final EngineCapacity CAPACITY = new EngineCapacity(SLOTS, 100_000, false);

    private static final Route ROUTE = GatewayCores.route(1_000);

    private static final long ARRIVED = 10_000;

    private final AtomicLong millis = new AtomicLong(ARRIVED);

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(millis::get).withCurrentThread().build();

    private GatewayCore core;

    private List<TargetLoad> loads;

    @BeforeEach
    void start() {
        start(Set.of(GatewayFeature.WAIT_FORECAST));
    }

    private void start(Set<GatewayFeature> features) {
        core = GatewayCores.of(loop, features);
        core.configure(GatewayCores.configuration(CAPACITY));
        DirectoryTarget target =
                new DirectoryTarget(
                        "one",
                        OptionalLong.of(1),
                        GatewayCores.SERVICE,
                        IpAddress.of("127.0.0.1:1"),
                        "x",
                        SLOTS,
                        false);
        core.targets().update(Map.of("one", target), 0);
        loads = core.targets().all().stream().map(KnownTarget::load).toList();
        for (int slot = 0; slot < SLOTS; slot++) {
            loads.get(0).sent(new RunningRequest(0, 0, 0, 0));
        }
    }

    /** Guards against refusals after a fifth of the objective although a place is forecast. */
    @Test
    void testRequestWaitsAsLongAsItCanBeInTime() {
        recordPlaces();
        EngineRouting routing = routing();
        assertThat(routing.decide(loads, 0, ROUTE).refusal()).isEmpty();
        at(ARRIVED + 700);
        recordPlaces();
        assertThat(routing.decide(loads, 0, ROUTE).refusal()).isEmpty();
        at(ARRIVED + 850);
        EngineRouting.Decision refused = routing.decide(loads, 0, ROUTE);
        assertThat(refused.refusal()).contains(RefusalReason.ENGINES_FULL);
        assertThat(refused.forecast().map(WaitRefusal::retrySeconds))
                .hasValueSatisfying(seconds -> assertThat(seconds).isBetween(0.1, 2.0));
    }

    /** Guards against a change of behaviour while the feature is off. */
    @Test
    void testRequestWaitsAFifthOfTheObjectiveWithoutTheFeature() {
        start(Set.of());
        recordPlaces();
        EngineRouting routing = routing();
        at(ARRIVED + 199);
        assertThat(routing.decide(loads, 0, ROUTE).refusal()).isEmpty();
        at(ARRIVED + 200);
        EngineRouting.Decision refused = routing.decide(loads, 0, ROUTE);
        assertThat(refused.refusal()).contains(RefusalReason.ENGINES_FULL);
        assertThat(refused.forecast()).isEmpty();
        assertThat(routing.waiting()).isEmpty();
    }

    /** A request that may have run must neither wait nor get a status that denies that it ran. */
    @Test
    void testAttemptedRequestNeitherWaitsNorIsRefused() {
        at(ARRIVED + 5_000);
        assertThat(routing().decide(loads, 1, ROUTE).choice()).isPresent();
    }

    private void recordPlaces() {
        for (int place = 0; place < 20; place++) {
            core.queue().forecastQueue(GatewayCores.SERVICE).recordPlace(core.now());
        }
    }

    private void at(long time) {
        millis.set(time);
        loop.run();
    }

    private EngineRouting routing() {
        return EngineRouting.of(
                        core,
                        Optional.of(
                                new ServiceConfiguration(
                                        GatewayCores.SERVICE,
                                        10,
                                        Optional.of(CAPACITY),
                                        WarmUpLimit.NONE)),
                        Optional.of(
                                new GenerationMetadata(
                                        "m", 100, 10, List.of(new PromptPart("own", 100)))),
                        "o",
                        ROUTE,
                        ARRIVED,
                        ARRIVED + ROUTE.timeoutMillis())
                .orElseThrow();
    }
}
