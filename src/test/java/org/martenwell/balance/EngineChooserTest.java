package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareTier;

class EngineChooserTest {

    private static final EngineCapacity CAPACITY = new EngineCapacity(10, 100_000, true);

    private final EngineChooser chooser = new EngineChooser("domain-a", new Random(1));

    private final PrefillRate rate = new PrefillRate();

    private final List<TargetLoad> loads = new ArrayList<>();

    private final List<TargetLoad> draining = new ArrayList<>();

    @Test
    void testEngineThatCachesThePromptIsPreferred() {
        add("one", "domain-a");
        add("two", "domain-a");
        loads.get(1).promptCache().put(chain(), 100_000);
        EngineChoice choice = choose(ShareTier.PROMISED).orElseThrow();
        assertThat(choice.load().target().id()).isEqualTo("two");
        assertThat(choice.prefillTokens()).isEqualTo(500);
        assertThat(choice.copyFrom()).isEmpty();
    }

    @Test
    void testUncachedPromptGoesToTheEnginePreferredByHash() {
        add("one", "domain-a");
        add("two", "domain-a");
        EngineDemand demand = new EngineDemand("o", chain(), 5_500, 100, 400, 0);
        TargetLoad first = choose(demand, ShareTier.PROMISED).orElseThrow().load();
        first.sent(new RunningRequest(2_000, 100, 0, 0));
        assertThat(choose(demand, ShareTier.PROMISED).orElseThrow().load()).isSameAs(first);
        first.sent(new RunningRequest(8_000, 100, 0, 0));
        assertThat(choose(demand, ShareTier.PROMISED).orElseThrow().load()).isNotSameAs(first);
    }

    @Test
    void testSourceOfACopyIsTheEngineWithTheMostCachedTokens() {
        add("one", "domain-a");
        add("two", "domain-a");
        loads.get(1).promptCache().put(chain(), 100_000);
        PromptCacheLookup cacheLookup = PromptCacheLookup.of(chain(), loads, draining);
        assertThat(cacheLookup.copySource(loads.get(0))).contains(loads.get(1));
        assertThat(cacheLookup.copySource(loads.get(1))).isEmpty();
    }

    /** Guards against requests that go on with what an engine of another version has computed. */
    @Test
    void testCachedPartsAreNotCopiedFromAnotherVersion() {
        add("one", "domain-a");
        add("two", "domain-a");
        loads.get(1).target(loads.get(1).target().withVersion("other"));
        loads.get(1).promptCache().put(chain(), 100_000);
        loads.get(1).sent(new RunningRequest(20_000, 20_000, 0, 0));
        EngineChoice choice = choose(ShareTier.PROMISED).orElseThrow();
        assertThat(choice.load().target().id()).isEqualTo("one");
        assertThat(choice.copyFrom()).isEmpty();
        assertThat(choice.prefillTokens()).isEqualTo(5_500);
    }

    @Test
    void testCachedPartsAreCopiedFromABusyEngine() {
        add("one", "domain-a");
        add("two", "domain-a");
        loads.get(1).promptCache().put(chain(), 100_000);
        loads.get(1).sent(new RunningRequest(20_000, 20_000, 0, 0));
        EngineChoice choice = choose(ShareTier.PROMISED).orElseThrow();
        assertThat(choice.load().target().id()).isEqualTo("one");
        assertThat(choice.copyFrom()).contains(loads.get(1));
        assertThat(choice.prefillTokens()).isEqualTo(500);
    }

    @Test
    void testDrainingEngineIsOnlyASourceOfCopies() {
        add("one", "domain-a");
        add("two", "domain-a");
        draining.add(loads.remove(1));
        draining.get(0).promptCache().put(chain(), 100_000);
        EngineChoice choice = choose(ShareTier.PROMISED).orElseThrow();
        assertThat(choice.load().target().id()).isEqualTo("one");
        assertThat(choice.copyFrom()).contains(draining.get(0));
        assertThat(choice.prefillTokens()).isEqualTo(500);
    }

    @Test
    void testRequestsOfPeersOccupySlots() {
        add("one", "domain-a");
        loads.get(0).applyPeerReport("peer", new LoadSums(10, 0, 0), 0);
        assertThat(choose(ShareTier.PROMISED)).isEmpty();
        loads.get(0).applyPeerReport("peer", new LoadSums(7, 0, 0), 0);
        assertThat(choose(ShareTier.PROMISED)).isPresent();
        assertThat(choose(ShareTier.OBSERVED)).isPresent();
        assertThat(choose(ShareTier.BEYOND)).isEmpty();
    }

    @Test
    void testLoadIncludesReportsOfPeers() {
        add("one", "domain-a");
        TargetLoad load = loads.get(0);
        RunningRequest first = new RunningRequest(100, 10, 0, 0);
        RunningRequest second = new RunningRequest(200, 20, 0, 0);
        load.sent(first);
        load.sent(second);
        load.applyPeerReport("peer", new LoadSums(3, 30, 300), 0);
        load.applyPeerReport("other", new LoadSums(1, 1, 1), 0);
        assertThat(load.totalLoad(0)).isEqualTo(new LoadSums(6, 331, 331));
        load.firstEventArrived(first);
        load.applyPeerReport("peer", new LoadSums(2, 0, 200), 10);
        load.applyPeerReport("other", LoadSums.NONE, 10);
        assertThat(load.totalLoad(10)).isEqualTo(new LoadSums(4, 200, 230));
        load.ended(first);
        load.ended(first);
        load.ended(second);
        assertThat(load.totalLoad(10)).isEqualTo(new LoadSums(2, 0, 200));
        assertThat(load.totalLoad(5_000)).isEqualTo(LoadSums.NONE);
    }

    @Test
    void testReportOfAPeerExpires() {
        add("one", "domain-a");
        loads.get(0).applyPeerReport("peer", new LoadSums(10, 0, 0), -5_000);
        assertThat(choose(ShareTier.PROMISED)).isPresent();
    }

    @Test
    void testEngineWithABacklogOrWithoutMemoryHasNoCapacity() {
        add("one", "domain-a");
        loads.get(0).sent(new RunningRequest(80_000, 0, 0, 0));
        assertThat(choose(ShareTier.PROMISED)).isEmpty();
        loads.clear();
        add("two", "domain-a");
        loads.get(0).sent(new RunningRequest(0, 95_000, 0, 0));
        assertThat(choose(ShareTier.PROMISED)).isEmpty();
    }

    @Test
    void testRequestBeyondTheMemoryLimitIsSentToAnIdleEngine() {
        add("one", "domain-a");
        EngineDemand huge = new EngineDemand("o", PromptChain.EMPTY, 200_000, 10, 100_000, 0);
        assertThat(choose(huge, ShareTier.PROMISED)).isPresent();
    }

    @Test
    void testEngineWithTooLongAPrefillIsNotChosen() {
        add("one", "domain-a");
        loads.get(0).sent(new RunningRequest(20_000, 0, 0, 0));
        EngineDemand small = new EngineDemand("o", PromptChain.EMPTY, 10, 10, 400, 0);
        EngineDemand large = new EngineDemand("o", PromptChain.EMPTY, 30_000, 10, 400, 0);
        assertThat(choose(small, ShareTier.PROMISED)).isPresent();
        LoadForecast forecast = LoadForecast.ofReports(rate, 0);
        assertThat(chooser.withCapacity(large, ShareTier.PROMISED, loads, CAPACITY, forecast, 0))
                .hasSize(1);
        assertThat(choose(large, ShareTier.PROMISED)).isEmpty();
    }

    /** Guards against a new connection for a request that an open one could carry. */
    @Test
    void testEngineWithAnIdleConnectionIsPreferred() {
        List<TargetLoad> equal = addEqualEngines();
        for (TargetLoad connected : equal) {
            equal.forEach(each -> each.idleConnection(() -> each == connected));
            assertThat(choose(ShareTier.PROMISED).orElseThrow().load()).isSameAs(connected);
        }
    }

    /** Guards against requests that gather on a busier engine because of its connection. */
    @Test
    void testBusierEngineWithAnIdleConnectionIsNotPreferred() {
        List<TargetLoad> equal = addEqualEngines();
        for (TargetLoad connected : equal) {
            equal.forEach(each -> each.idleConnection(() -> each == connected));
            RunningRequest running = new RunningRequest(0, 100, 0, 0);
            connected.sent(running);
            assertThat(choose(ShareTier.PROMISED).orElseThrow().load()).isNotSameAs(connected);
            connected.ended(running);
        }
    }

    /** Returns two engines that cost the same, beside a full one that the hash prefers. */
    private List<TargetLoad> addEqualEngines() {
        add("one", "domain-a");
        add("two", "domain-a");
        add("three", "domain-a");
        TargetLoad preferred = choose(ShareTier.PROMISED).orElseThrow().load();
        for (int slot = 0; slot < 10; slot++) {
            preferred.sent(new RunningRequest(0, 0, 0, 0));
        }
        return loads.stream().filter(each -> each != preferred).toList();
    }

    /** Guards against slow engines that get as long prompts as fast ones. */
    @Test
    void testPromptOfASlowEngineGoesToAFasterOne() {
        add("one", "domain-a");
        add("two", "domain-a");
        TargetLoad preferred = choose(ShareTier.PROMISED).orElseThrow().load();
        preferred.speed().factor(0.4);
        assertThat(choose(ShareTier.PROMISED).orElseThrow().load()).isNotSameAs(preferred);
        preferred.speed().factor(1);
        assertThat(choose(ShareTier.PROMISED).orElseThrow().load()).isSameAs(preferred);
    }

    /** Guards against waiting for a slow engine as if it were a fast one, and the reverse. */
    @Test
    void testBacklogIsRelativeToTheSpeed() {
        add("one", "domain-a");
        TargetLoad load = loads.get(0);
        EngineDemand small = new EngineDemand("o", PromptChain.EMPTY, 10, 10, 400, 0);
        load.sent(new RunningRequest(16_000, 0, 0, 0));
        assertThat(choose(small, ShareTier.PROMISED).orElseThrow().backlogMillis()).isEqualTo(200);
        load.speed().factor(0.5);
        assertThat(choose(small, ShareTier.PROMISED)).isEmpty();
        load.sent(new RunningRequest(10_000, 0, 0, 0));
        load.speed().factor(1);
        assertThat(choose(small, ShareTier.PROMISED)).isEmpty();
        load.speed().factor(1.3);
        assertThat(choose(small, ShareTier.PROMISED).orElseThrow().backlogMillis()).isEqualTo(250);
    }

    /** Guards against gateways that together send an engine more than it can serve in time. */
    @Test
    void testUnreportedWorkCountsAsBacklog() {
        add("one", "domain-a");
        loads.get(0).sent(new RunningRequest(80, 0, 0, 0));
        EngineDemand small = new EngineDemand("o", PromptChain.EMPTY, 10, 10, 400, 0);
        assertThat(choose(small, ShareTier.PROMISED, LoadForecast.ofReports(rate, 400)))
                .isPresent();
        ForecastError none = new ForecastError();
        assertThat(choose(small, ShareTier.PROMISED, LoadForecast.corrected(rate, 0, 200, none)))
                .isPresent();
        assertThat(choose(small, ShareTier.PROMISED, LoadForecast.corrected(rate, 0, 400, none)))
                .isEmpty();
    }

    /** Guards against requests that wait while an engine is known to be idle. */
    @Test
    void testIdleEngineIsChosenWhateverTheForecast() {
        add("one", "domain-a");
        EngineDemand small = new EngineDemand("o", PromptChain.EMPTY, 10, 10, 400, 0);
        LoadForecast forecast = LoadForecast.corrected(rate, 0, 4_000, new ForecastError());
        assertThat(choose(small, ShareTier.PROMISED, forecast)).isPresent();
    }

    /** Guards against forecasts that stay as long as at idle engines. */
    @Test
    void testForecastIsCorrectedByItsErrors() {
        add("one", "domain-a");
        loads.get(0).sent(new RunningRequest(16_000, 0, 0, 0));
        EngineDemand small = new EngineDemand("o", PromptChain.EMPTY, 10, 10, 400, 0);
        ForecastError error = new ForecastError();
        assertThat(choose(small, ShareTier.PROMISED, LoadForecast.corrected(rate, 0, 0, error)))
                .isPresent();
        for (int sample = 0; sample < 100; sample++) {
            error.observe(100, 200);
        }
        assertThat(choose(small, ShareTier.PROMISED, LoadForecast.corrected(rate, 0, 0, error)))
                .isEmpty();
    }

    /** Guards against noise that spreads requests evenly over engines of different speeds. */
    @Test
    void testNoiseSpreadsRequestsInProportionToSpeeds() {
        add("one", "domain-a");
        add("two", "domain-a");
        loads.get(0).speed().factor(0.5);
        EngineDemand empty = new EngineDemand("o", PromptChain.EMPTY, 0, 10, 400, 0);
        int slow = 0;
        for (int request = 0; request < 3_000; request++) {
            slow +=
                    choose(empty, ShareTier.PROMISED, 1_000).orElseThrow().load() == loads.get(0)
                            ? 1
                            : 0;
        }
        assertThat(slow).isBetween(900, 1_100);
    }

    private Optional<EngineChoice> choose(ShareTier tier) {
        EngineDemand demand = new EngineDemand("o", chain(), 5_500, 100, 400, 0);
        return choose(demand, tier);
    }

    private Optional<EngineChoice> choose(EngineDemand demand, ShareTier tier) {
        return choose(demand, tier, 0);
    }

    private Optional<EngineChoice> choose(
            EngineDemand demand, ShareTier tier, double unreportedMillis) {
        return choose(demand, tier, LoadForecast.ofReports(rate, unreportedMillis));
    }

    private Optional<EngineChoice> choose(
            EngineDemand demand, ShareTier tier, LoadForecast forecast) {
        List<TargetLoad> candidates =
                chooser.withCapacity(demand, tier, loads, CAPACITY, forecast, 0);
        PromptCacheLookup cacheLookup = PromptCacheLookup.of(demand.chain(), loads, draining);
        return chooser.choose(
                demand,
                tier,
                candidates,
                cacheLookup,
                CAPACITY,
                forecast,
                UnrestrictedPlacement.INSTANCE,
                0);
    }

    private static PromptChain chain() {
        return PromptChain.of(
                "m", List.of(new PromptPart("shared", 5_000), new PromptPart("own", 500)));
    }

    private void add(String id, String domain) {
        loads.add(
                new TargetLoad(
                        new DirectoryTarget(
                                id,
                                OptionalLong.of(1),
                                "s",
                                IpAddress.of("127.0.0.1:1"),
                                domain,
                                10,
                                false)));
    }
}
