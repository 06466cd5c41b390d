package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.EngineDemand;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareTier;

/**
 * Guards against refusing an organisation below its share of the observed capacity because its
 * gateway has reserved all engines, although they are idle.
 */
final class EngineReserveShareTest {

    /** The promised capacity of the fleet, in tokens per second. */
    private static final long PROMISED_TOKENS = 10_000;

    private static final EngineCapacity CAPACITY = new EngineCapacity(4, 100_000, true);

    private final GatewayCore core =
            GatewayCores.of(
                    Eventloop.builder().withTimeProvider(() -> 1).withCurrentThread().build());

    private final EngineRouting routing =
            new EngineRouting(
                    core,
                    new EngineDemand(
                            "low",
                            PromptChain.of("m", List.of(new PromptPart("own", 9))),
                            9,
                            10,
                            400,
                            core.now()),
                    CAPACITY,
                    GatewayCores.SERVICE);

    private final List<TargetLoad> loads = new ArrayList<>();

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(CAPACITY, PROMISED_TOKENS));
        core.targets().update(Map.of("one", target("one"), "two", target("two")), 0);
        core.targets().all().forEach(each -> loads.add(each.load()));
    }

    @Test
    void testRequestWithinObservedShareUsesIdleReservedEngine() {
        core.shares().requested("high", 100 * PROMISED_TOKENS, core.now());
        core.shares().sent("high", 20 * PROMISED_TOKENS, ShareTier.PROMISED, core.now());
        core.shares().requested("low", 100 * PROMISED_TOKENS, core.now());
        core.shares().sent("low", 4 * PROMISED_TOKENS, ShareTier.PROMISED, core.now());
        core.reserve().sent(1e9, 1);
        EngineRouting.Decision decision = routing.decide(loads, 0, GatewayCores.route(400));
        assertThat(decision.use().tier()).isEqualTo(ShareTier.OBSERVED);
        assertThat(decision.choice()).isPresent();
    }

    private static DirectoryTarget target(String id) {
        return new DirectoryTarget(
                id,
                OptionalLong.empty(),
                GatewayCores.SERVICE,
                IpAddress.of("127.0.0.1:1"),
                "x",
                4,
                false);
    }
}
