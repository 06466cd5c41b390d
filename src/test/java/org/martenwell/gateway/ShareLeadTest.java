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
 * Guards against an organisation that gets more than twice as much as another one that is held up,
 * as by the limits of the box that all of its callers come to.
 */
final class ShareLeadTest {

    /** The promised capacity of the fleet, in tokens per second. */
    private static final long PROMISED_TOKENS = 10_000;

    private static final EngineCapacity CAPACITY = new EngineCapacity(4, 100_000, true);

    /** Longer than an organisation is held up until others are limited, in milliseconds. */
    private static final long HELD_UP_MILLIS = 3_000;

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final GatewayCore core = GatewayCores.of(loop);

    private final EngineRouting routing =
            new EngineRouting(
                    core,
                    new EngineDemand(
                            "ahead",
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
    void testOrganisationFarAheadOfOneThatIsHeldUpIsRefused() {
        demand("behind", 100 * PROMISED_TOKENS, 20 * PROMISED_TOKENS);
        demand("ahead", 100 * PROMISED_TOKENS, 50 * PROMISED_TOKENS);
        EngineRouting.Decision decision = decideLater();
        assertThat(decision.choice()).isEmpty();
        assertThat(decision.refusal()).isPresent();
    }

    @Test
    void testOrganisationFarAheadOfOneThatHasJustBegunUsesIdleEngines() {
        demand("behind", 100 * PROMISED_TOKENS, 20 * PROMISED_TOKENS);
        demand("ahead", 100 * PROMISED_TOKENS, 50 * PROMISED_TOKENS);
        assertThat(decide().choice()).isPresent();
    }

    @Test
    void testOrganisationNotFarAheadUsesIdleEngines() {
        demand("behind", 100 * PROMISED_TOKENS, 20 * PROMISED_TOKENS);
        demand("ahead", 100 * PROMISED_TOKENS, 25 * PROMISED_TOKENS);
        assertThat(decideLater().choice()).isPresent();
    }

    @Test
    void testOrganisationFarAheadOfServedOnesUsesIdleEngines() {
        demand("served", 20 * PROMISED_TOKENS, 20 * PROMISED_TOKENS);
        demand("ahead", 100 * PROMISED_TOKENS, 50 * PROMISED_TOKENS);
        assertThat(decideLater().choice()).isPresent();
    }

    private void demand(String organisation, double requested, double sent) {
        core.shares().requested(organisation, requested, core.now());
        core.shares().sent(organisation, sent, ShareTier.BEYOND, core.now());
    }

    private EngineRouting.Decision decideLater() {
        decide();
        nowMillis += HELD_UP_MILLIS;
        loop.post(() -> {});
        loop.run();
        return decide();
    }

    private EngineRouting.Decision decide() {
        return routing.decide(loads, 0, GatewayCores.route(400));
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
