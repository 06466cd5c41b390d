package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.PlacedPart;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;

/** Tests what an engine is taken to keep behind a request that it did not run. */
final class PlacedPromptTest {

    private static final PromptPart GENERAL = new PromptPart("general", 100);

    private static final PromptPart SPECIAL = new PromptPart("special", 200);

    private static final PromptPart OWN = new PromptPart("own", 300);

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

    private final GatewayCore core = GatewayCores.of(loop);

    private final TargetLoad load =
            new TargetLoad(
                    new DirectoryTarget(
                            "t",
                            OptionalLong.of(1),
                            GatewayCores.SERVICE,
                            IpAddress.of("127.0.0.1:1"),
                            "x",
                            10,
                            false));

    private final PromptChain chain = PromptChain.of("m", List.of(GENERAL, SPECIAL, OWN));

    @Test
    void testPartsThatWereNotReadAreTakenBackAndPeersAreTold() {
        core.configure(GatewayCores.configuration(new EngineCapacity(10, 100_000, true)));
        load.memory().keep(PromptChain.key("m", GENERAL.id()), GENERAL.tokens(), 100_000);
        PlacedPrompt placed = PlacedPrompt.at(core, load, chain);
        assertThat(load.memory().keptTokens(chain)).isEqualTo(300);
        core.takePlaced();
        placed.takeBack();
        assertThat(load.memory().keptTokens(chain)).isEqualTo(100);
        assertThat(core.takePlaced())
                .containsExactly(new PlacedPart("t@1", PromptChain.key("m", SPECIAL.id()), 0));
    }
}
