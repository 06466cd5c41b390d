package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;

/** Tests the rollback of assumed cache entries, at the gateway and in reports to its peers. */
final class AssumedCacheEntriesTest {

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
    void testAddedEntriesAreRolledBackAndReported() {
        core.configure(GatewayCores.configuration(new EngineCapacity(10, 100_000, true)));
        load.promptCache().put(PromptChain.key("m", GENERAL.id()), GENERAL.tokens(), 100_000);
        AssumedCacheEntries entries = AssumedCacheEntries.add(core, load, chain);
        assertThat(load.promptCache().cachedTokens(chain)).isEqualTo(300);
        core.takeCacheUpdates();
        entries.rollBack();
        assertThat(load.promptCache().cachedTokens(chain)).isEqualTo(100);
        assertThat(core.takeCacheUpdates())
                .containsExactly(
                        new CachedPartUpdate("t@1", PromptChain.key("m", SPECIAL.id()), 0));
    }
}
