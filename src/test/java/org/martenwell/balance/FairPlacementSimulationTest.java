package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.FairPlacementSimulation.Scenario;

/**
 * Guards against full engines that serve organisations in proportion to their demand: one that asks
 * for less than its share got as small a part of it as one that asks for far more.
 */
final class FairPlacementSimulationTest {

    /** The part of its share that no organisation may get less than. */
    private static final double LEAST_SHARE = 0.5;

    /** The part of its share that organisations are to get. */
    private static final double AIMED_SHARE = 0.8;

    private static final int SEEDS = 3;

    private static final List<Scenario> SCENARIOS =
            List.of(
                    new Scenario(24, 1, 1.3, 0.6, 0, 0),
                    new Scenario(24, 2, 1.3, 0.8, 9_000, 0),
                    new Scenario(62, 3, 1.0, 0.6, 9_000, 0),
                    new Scenario(62, 2, 0.8, 0.8, 9_000, 0));

    @Test
    void testOrganisationAtFewGatewaysGetsItsShareOfFullEngines() {
        double[] shares =
                SCENARIOS.stream()
                        .flatMapToDouble(FairPlacementSimulationTest::leastShares)
                        .toArray();
        assertThat(DoubleStream.of(shares).min().orElseThrow()).isGreaterThan(LEAST_SHARE);
        assertThat(DoubleStream.of(shares).average().orElseThrow()).isGreaterThan(AIMED_SHARE);
    }

    private static DoubleStream leastShares(Scenario scenario) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(
                        seed ->
                                FairPlacementSimulation.simulate(scenario.withSeed(seed))
                                        .leastShare());
    }
}
