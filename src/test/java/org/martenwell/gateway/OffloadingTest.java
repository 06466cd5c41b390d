package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Gauge;
import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.directory.GatewayMember;

/**
 * Guards against a gateway that offers processor time which it doesn't have, or that doesn't
 * offload although its box is short of it.
 */
final class OffloadingTest {

    private static final long STEP_MILLIS = 100;

    private long nowMillis = 1_000;

    private double usedMillis;

    private double lagMillis;

    private boolean refusing;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final GatewayLog log = new GatewayLog(loop);

    private final CapacityExchange capacities = new CapacityExchange("self");

    private final ProcessorLimiter processor =
            new ProcessorLimiter(loop, 1, () -> (long) usedMillis, () -> lagMillis);

    private final Offloading offloading =
            new Offloading(
                    GatewayCores.settings("self", "x", "127.0.0.1:1"),
                    () -> refusing,
                    () -> nowMillis,
                    () -> 0);

    private final OffloadDecision decision = offloading.decision();

    @BeforeEach
    void start() {
        offloading.register(processor, capacities, log);
        List<GatewayMember> members =
                List.of(
                        new GatewayMember("self", "x", "127.0.0.1:1", 1),
                        new GatewayMember("peer", "x", "127.0.0.1:2", 1));
        capacities.members(members);
        offloading.members(members);
        loop.post(processor::start);
        loop.run();
    }

    @Test
    void testIdleGatewayOffersProcessorTime() {
        assertThat(offered()).isZero();
        run(0.1, 4);
        assertThat(offered()).isBetween(450, 500);
        assertThat(gauge("spare_processor_millis")).isBetween(450L, 500L);
        assertThat(decision.acceptsOffloaded()).isTrue();
        assertThat(chosen()).isEmpty();
    }

    @Test
    void testBusyGatewayOffersNothingAndOffloads() {
        run(0.1, 4);
        lagMillis = 50;
        run(1, 1);
        assertThat(offered()).isZero();
        assertThat(decision.acceptsOffloaded()).isFalse();
        assertThat(gauge("offloaded_fraction")).isGreaterThan(800);
        assertThat(chosen()).contains("peer");
        decision.rejected("peer", nowMillis);
        assertThat(chosen()).isEmpty();
    }

    @Test
    void testRefusingGatewayOffersNothing() {
        run(0.1, 4);
        refusing = true;
        assertThat(offered()).isZero();
        assertThat(decision.acceptsOffloaded()).isFalse();
    }

    @Test
    void testStoppingGatewayOffersNothing() {
        run(0.1, 4);
        offloading.stop();
        assertThat(offered()).isZero();
        assertThat(decision.acceptsOffloaded()).isFalse();
    }

    @Test
    void testNothingIsOfferedUnlessEnabled() {
        GatewayCore core = GatewayCores.of(loop);
        core.capacities().members(List.of(new GatewayMember("self", "x", "127.0.0.1:1", 1)));
        assertThat(core.offloading()).isEmpty();
        assertThat(core.capacities().next(nowMillis)).isEmpty();
        assertThat(core.log().metrics().getGauges()).doesNotContainKey("offloaded_fraction");
    }

    /** Returns the peer for a request, after a notice that offers processor time. */
    private Optional<String> chosen() {
        capacities.receive(new CapacityNotice("peer", 500, List.of()));
        nowMillis += STEP_MILLIS;
        return decision.choose(2, nowMillis);
    }

    private int offered() {
        nowMillis += 1_000;
        return capacities.next(nowMillis).orElseThrow().spareMillis();
    }

    private long gauge(String name) {
        Gauge<?> gauge = log.metrics().getGauges().get(name);
        return ((Number) gauge.getValue()).longValue();
    }

    /** Uses a fraction of the processor for a time. */
    private void run(double used, int seconds) {
        for (int step = 0; step < seconds * 1_000L / STEP_MILLIS; step++) {
            usedMillis += used * STEP_MILLIS;
            nowMillis += STEP_MILLIS;
            loop.post(() -> {});
            loop.run();
        }
    }
}
