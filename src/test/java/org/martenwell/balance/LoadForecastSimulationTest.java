package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against gateways that all together overfill engines, because each of them fills the
 * engines up to what reports show, and against slow engines that get as much as fast ones. The load
 * is that of 95 gateways with reports that are 0.3 s old.
 */
final class LoadForecastSimulationTest {

    private static final long SEED = 11;

    /** The requests per second for each engine that engines can just serve. */
    private static final double FULL_LOAD = 6;

    private static final double OVERLOAD = 11;

    private static final PlacementSimulation.Knowledge FORECASTS =
            new PlacementSimulation.Knowledge(false, true);

    private static final PlacementSimulation.Knowledge SPEEDS =
            new PlacementSimulation.Knowledge(true, false);

    /** The part of requests that engines may reject, by the target of the specification. */
    private static final double MAX_REJECTED = 0.01;

    @Test
    void testForecastsFillEnginesUpToWhatTheyCanServe() {
        KindResult before = simulate(OVERLOAD, PlacementSimulation.Knowledge.OF_REPORTS);
        KindResult after = simulate(OVERLOAD, FORECASTS);
        assertThat(before.rejectedShare()).isGreaterThan(MAX_REJECTED);
        assertThat(after.rejectedShare()).isLessThan(before.rejectedShare());
        assertThat(after.inTimeShare()).isGreaterThan(before.inTimeShare());
        assertThat(after.late()).isLessThan(before.late());
    }

    @Test
    void testForecastsChangeLittleBelowFullLoad() {
        KindResult before = simulate(FULL_LOAD / 2, PlacementSimulation.Knowledge.OF_REPORTS);
        KindResult after = simulate(FULL_LOAD / 2, FORECASTS);
        assertThat(after.refusedCount()).isZero();
        assertThat(after.rejectedShare()).isLessThan(MAX_REJECTED);
        assertThat(after.inTimeShare()).isGreaterThan(before.inTimeShare() - 0.02);
    }

    /**
     * Guards against a gateway that refuses although engines have capacity, because it takes its
     * own load for that of each peer.
     */
    @Test
    void testGatewayWithHalfOfTheRequestsRefusesNone() {
        KindResult result =
                simulate(
                        steady(FULL_LOAD / 2).scenario(SEED).withHotPart(0.5),
                        FULL_LOAD / 2,
                        FORECASTS);
        assertThat(result.refusedCount()).isZero();
    }

    /** Guards against generations that pause on slow engines. */
    @Test
    void testSpeedsFromEventsReduceThePausesOfGenerations() {
        KindResult before = simulate(FULL_LOAD / 2, PlacementSimulation.Knowledge.OF_REPORTS);
        KindResult after = simulate(FULL_LOAD / 2, SPEEDS);
        assertThat(after.pausedCount()).isLessThan(before.pausedCount());
        assertThat(after.inTimeShare()).isGreaterThan(before.inTimeShare() - 0.02);
    }

    private static LongPromptScenarios.Case steady(double perEngine) {
        return LongPromptScenarios.cases(perEngine).get("steady");
    }

    private static KindResult simulate(double perEngine, PlacementSimulation.Knowledge knowledge) {
        return simulate(steady(perEngine).scenario(SEED), perEngine, knowledge);
    }

    private static KindResult simulate(
            PlacementSimulation.Scenario scenario,
            double perEngine,
            PlacementSimulation.Knowledge knowledge) {
        Map<String, KindResult> results =
                PlacementSimulation.simulate(
                        scenario,
                        steady(perEngine).model(),
                        knowledge,
                        () -> UnrestrictedPlacement.INSTANCE);
        KindResult total = new KindResult();
        results.values().forEach(total::add);
        return total;
    }
}
