package org.martenwell.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.function.LongConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that slots are not lost, and that unfairness and overcommitment stay bounded, when a
 * router leaves, restarts or is partitioned.
 */
class FleetFaultTest {

    private static final SimulatedSite SITE = SimulatedSite.coldChain();
    private static final SchedulingParameters PARAMETERS = SchedulingParameters.DEFAULTS;
    private static final long FAULT_START_MILLIS = 10_000;
    private static final long FAULT_END_MILLIS = 14_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void testSlotsOfARemovedCoordinatorAreReused(long seed) {
        SimulatedFleet scheduler = scheduler(seed);
        Simulation simulation = new Simulation(SITE, scheduler, seed);
        SimulationResult result =
                simulation.run(
                        20,
                        20,
                        at(
                                FAULT_START_MILLIS,
                                () -> {
                                    simulation.removeRouter(7);
                                    scheduler.stop(7);
                                }));
        assertThat(result.utilisation()).isGreaterThan(0.99);
        assertThat(result.maxOvercommit()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 5, 6})
    void testGapStaysBoundedAfterAPartitionedRouterRejoins(long seed) {
        SimulatedFleet scheduler = scheduler(seed);
        Simulation simulation = new Simulation(SITE, scheduler, seed);
        int[] slotsInUse = {0};
        SimulationResult result =
                simulation.run(
                        24,
                        20,
                        at(
                                        FAULT_START_MILLIS,
                                        () -> {
                                            slotsInUse[0] = maxSlotsInUse(scheduler, 4);
                                            scheduler.assign(Set.of(4));
                                        })
                                .andThen(at(FAULT_END_MILLIS, () -> scheduler.assign(Set.of()))));
        assertThat(result.utilisation()).isGreaterThan(0.99);
        assertThat(result.gap()).isLessThan(1_000);
        assertThat(result.maxOvercommit())
                .isLessThanOrEqualTo(PARAMETERS.overcommitSlots() + slotsInUse[0]);
    }

    @ParameterizedTest
    @ValueSource(longs = {7, 8, 9})
    void testRouterRestartLosesNoSlots(long seed) {
        SimulatedFleet scheduler = scheduler(seed);
        Simulation simulation = new Simulation(SITE, scheduler, seed);
        SimulationResult result =
                simulation.run(
                        20,
                        20,
                        at(
                                FAULT_START_MILLIS,
                                () -> {
                                    simulation.removeRouter(4);
                                    scheduler.restart(4);
                                }));
        assertThat(result.utilisation()).isGreaterThan(0.99);
        assertThat(result.gap()).isLessThan(1_000);
        assertThat(result.maxOvercommit()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
    }

    /**
     * Returns the most slots of one target that a router uses. After its removal these are not
     * counted as taken.
     */
    private static int maxSlotsInUse(SimulatedFleet scheduler, int router) {
        return SITE.targets().stream()
                .mapToInt(
                        target ->
                                (int)
                                        Math.round(
                                                scheduler.node(router).slots.load(target)
                                                        * target.slots()))
                .max()
                .orElse(0);
    }

    private static SimulatedFleet scheduler(long seed) {
        return new SimulatedFleet(SITE, SimulatedNetwork.RELIABLE, PARAMETERS, seed);
    }

    private static LongConsumer at(long time, Runnable action) {
        return now -> {
            if (now == time) {
                action.run();
            }
        };
    }
}
