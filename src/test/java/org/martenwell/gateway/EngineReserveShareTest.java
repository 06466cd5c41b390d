package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.PromptNeed;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareTier;

/**
 * In a fleet of seven gateways, an organisation asked for 4.5 M tokens in six seconds and got 0.64
 * M, another one got 1.52 M. The callers of each came to one gateway. The first one was far below
 * its share of what the fleet produced (0.39 M of 0.73 M a window), and its gateway, which was
 * idle, refused its requests at once as beyond the share. Each gateway reckons from its own prompts
 * how many engines those within promised shares need; the one with long prompts reserved all of
 * them, the other some. A request within its share of what is produced may now use a reserved
 * engine that has nothing to do.
 */
final class EngineReserveShareTest {

    /** What the fleet is promised to produce, in tokens a second. */
    private static final long PROMISED_TOKENS = 10_000;

    private static final EngineCapacity TERMS = new EngineCapacity(4, 100_000, true);

    private final GatewayCore core =
            GatewayCores.of(
                    Eventloop.builder().withTimeProvider(() -> 1).withCurrentThread().build());

    private final EngineRouting routing =
            new EngineRouting(
                    core,
                    new PromptNeed(
                            "low",
                            PromptChain.of("m", List.of(new PromptPart("own", 9))),
                            9,
                            10,
                            400,
                            core.now()),
                    TERMS,
                    GatewayCores.SERVICE);

    private final List<TargetLoad> loads = new ArrayList<>();

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(TERMS, PROMISED_TOKENS));
        core.targets().update(Map.of("one", target("one"), "two", target("two")));
        core.targets().all().forEach(each -> loads.add(each.load()));
    }

    @Test
    void testRequestWithinItsShareOfWhatIsProducedIsServedByIdleEngines() {
        core.shares().asked("high", 100 * PROMISED_TOKENS, core.now());
        core.shares().begun("high", 20 * PROMISED_TOKENS, ShareTier.PROMISED, core.now());
        core.shares().asked("low", 100 * PROMISED_TOKENS, core.now());
        core.shares().begun("low", 4 * PROMISED_TOKENS, ShareTier.PROMISED, core.now());
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
