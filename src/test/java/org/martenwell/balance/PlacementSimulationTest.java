package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against gateways that all send requests to the same, seemingly least loaded engines before
 * reports of each other's requests arrive.
 */
final class PlacementSimulationTest {

    /** The load that uses half of an engine's slots, in requests per second. */
    private static final int HALF_LOAD = 13;

    /** A fleet whose reports are sent through relays. */
    private static final PlacementSimulation.Scenario LARGE =
            new PlacementSimulation.Scenario(95, 53, 53 * HALF_LOAD, 190, 200, 2, 1);

    /** A fleet whose reports are sent directly. */
    private static final PlacementSimulation.Scenario SMALL =
            new PlacementSimulation.Scenario(7, 11, 11 * HALF_LOAD, 40, 5, 4, 1);

    @Test
    void testDelayedReportsDoNotOverloadEngines() {
        KindResult outcome = PlacementSimulation.simulate(LARGE);
        assertThat(outcome.inTimeShare()).isGreaterThan(0.97);
        assertThat(outcome.rejectedShare()).isLessThan(0.01);
    }

    /** Verifies that the simulation reproduces the overload. */
    @Test
    void testDelayedReportsOverloadEnginesWithoutNoise() {
        KindResult outcome = PlacementSimulation.simulateWithoutNoise(LARGE);
        assertThat(outcome.inTimeShare()).isLessThan(0.85);
    }

    @Test
    void testNoiseDoesNotHarmASmallFleet() {
        assertThat(PlacementSimulation.simulate(SMALL).inTimeShare()).isGreaterThan(0.99);
        assertThat(PlacementSimulation.simulateWithoutNoise(SMALL).inTimeShare())
                .isGreaterThan(0.99);
    }
}
