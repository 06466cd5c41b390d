package org.martenwell.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.function.LongConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Faults in the control path: each ends, and what it does meanwhile stays within a stated bound.
 */
class FleetFaultTest {

    private static final TrialSite SITE = TrialSite.coldChain();
    private static final SchedulingParameters PARAMETERS = SchedulingParameters.DEFAULTS;
    private static final long FAULT_AT = 10_000;
    private static final long FAULT_ENDS = 14_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void testSlotsOfAKeeperThatLeftAreUsedAgain(long seed) {
        FleetTrialScheduler scheduler = scheduler(seed);
        Trial trial = new Trial(SITE, scheduler, seed);
        TrialResult result =
                trial.run(
                        20,
                        20,
                        at(
                                FAULT_AT,
                                () -> {
                                    trial.dropRouter(7);
                                    scheduler.kill(7);
                                }));
        assertThat(result.utilisation()).isGreaterThan(0.99);
        assertThat(result.overCommitted()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 5, 6})
    void testPartitionedRouterRejoinsAndTheGapStopsGrowing(long seed) {
        FleetTrialScheduler scheduler = scheduler(seed);
        Trial trial = new Trial(SITE, scheduler, seed);
        int[] held = {0};
        TrialResult result =
                trial.run(
                        24,
                        20,
                        at(
                                        FAULT_AT,
                                        () -> {
                                            held[0] = mostHeld(scheduler, 4);
                                            scheduler.assign(Set.of(4));
                                        })
                                .andThen(at(FAULT_ENDS, () -> scheduler.assign(Set.of()))));
        assertThat(result.utilisation()).isGreaterThan(0.99);
        assertThat(result.gap()).isLessThan(1_000);
        assertThat(result.overCommitted())
                .isLessThanOrEqualTo(PARAMETERS.overcommitSlots() + held[0]);
    }

    @ParameterizedTest
    @ValueSource(longs = {7, 8, 9})
    void testRestartedRouterLosesNoSlotForGood(long seed) {
        FleetTrialScheduler scheduler = scheduler(seed);
        Trial trial = new Trial(SITE, scheduler, seed);
        TrialResult result =
                trial.run(
                        20,
                        20,
                        at(
                                FAULT_AT,
                                () -> {
                                    trial.dropRouter(4);
                                    scheduler.restart(4);
                                }));
        assertThat(result.utilisation()).isGreaterThan(0.99);
        assertThat(result.gap()).isLessThan(1_000);
        assertThat(result.overCommitted()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
    }

    /** The most slots of one target that a router uses; nobody counts them once it is removed. */
    private static int mostHeld(FleetTrialScheduler scheduler, int router) {
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

    private static FleetTrialScheduler scheduler(long seed) {
        return new FleetTrialScheduler(SITE, TrialNetwork.SOUND, PARAMETERS, seed);
    }

    private static LongConsumer at(long time, Runnable action) {
        return now -> {
            if (now == time) {
                action.run();
            }
        };
    }
}
