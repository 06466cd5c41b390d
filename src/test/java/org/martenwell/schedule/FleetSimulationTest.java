package org.martenwell.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the distributed scheduler with a central reference scheduler and with isolated routers.
 */
class FleetSimulationTest {

    private static final SchedulingParameters PARAMETERS = SchedulingParameters.DEFAULTS;

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void testColdChainGapIsCloseToTheCentralScheduler(long seed) {
        assertCloseToCentral(SimulatedSite.coldChain(), seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void testFoodAidGapIsCloseToTheCentralScheduler(long seed) {
        assertCloseToCentral(SimulatedSite.foodAid(), seed);
    }

    @Test
    void testGapIsFarBelowThatOfIsolatedRouters() {
        SimulatedSite site = SimulatedSite.coldChain();
        SimulationResult fleet = fleet(site, SimulatedNetwork.RELIABLE, 5);
        SimulationResult local =
                new Simulation(site, new IsolatedRouterScheduler(site, true), 5).run(5, 30);
        SimulationResult firstComeFirstServed =
                new Simulation(site, new IsolatedRouterScheduler(site, false), 5).run(5, 30);
        assertThat(local.gap()).isGreaterThan(100 * fleet.gap());
        assertThat(firstComeFirstServed.gap()).isGreaterThan(100 * fleet.gap());
        assertThat(local.utilisation()).isLessThan(fleet.utilisation());
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void testUnreliableNetworkLosesNoSlots(long seed) {
        SimulatedNetwork unreliable = new SimulatedNetwork(2, 20, 0.02, 0.05, 500, true);
        SimulationResult result = fleet(SimulatedSite.coldChain(), unreliable, seed);
        assertThat(result.utilisation()).isGreaterThan(0.97);
        assertThat(result.maxOvercommit()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
        assertThat(result.gap()).isLessThan(5_000);
    }

    private static void assertCloseToCentral(SimulatedSite site, long seed) {
        SimulationResult central =
                new Simulation(site, new CentralReferenceScheduler(site, PARAMETERS), seed)
                        .run(5, 30);
        SimulationResult fleet = fleet(site, SimulatedNetwork.RELIABLE, seed);
        assertThat(fleet.gap()).isLessThan(4 * central.gap());
        assertThat(fleet.utilisation()).isGreaterThan(0.99 * central.utilisation());
        assertThat(fleet.maxOvercommit()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
    }

    private static SimulationResult fleet(SimulatedSite site, SimulatedNetwork network, long seed) {
        return new Simulation(site, new SimulatedFleet(site, network, PARAMETERS, seed), seed)
                .run(5, 30);
    }
}
