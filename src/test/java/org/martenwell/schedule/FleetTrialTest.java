package org.martenwell.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the fleet's scheduling with the naive central scheduler and with the baselines. */
class FleetTrialTest {

    private static final SchedulingParameters PARAMETERS = SchedulingParameters.DEFAULTS;

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void testGapIsNearTheCentralSchedulersAtTheColdChainSite(long seed) {
        assertNearCentral(TrialSite.coldChain(), seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void testGapIsNearTheCentralSchedulersAtTheFoodAidSite(long seed) {
        assertNearCentral(TrialSite.foodAid(), seed);
    }

    @Test
    void testGapIsFarBelowThatOfRoutersOnTheirOwn() {
        TrialSite site = TrialSite.coldChain();
        TrialResult fleet = fleet(site, TrialNetwork.SOUND, 5);
        TrialResult local = new Trial(site, new LocalTrialScheduler(site, true), 5).run(5, 30);
        TrialResult first = new Trial(site, new LocalTrialScheduler(site, false), 5).run(5, 30);
        assertThat(local.gap()).isGreaterThan(100 * fleet.gap());
        assertThat(first.gap()).isGreaterThan(100 * fleet.gap());
        assertThat(local.utilisation()).isLessThan(fleet.utilisation());
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void testLostDoubledAndReorderedMessagesLoseNoSlots(long seed) {
        TrialNetwork bad = new TrialNetwork(2, 20, 0.02, 0.05, 500, true);
        TrialResult result = fleet(TrialSite.coldChain(), bad, seed);
        assertThat(result.utilisation()).isGreaterThan(0.97);
        assertThat(result.overCommitted()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
        assertThat(result.gap()).isLessThan(5_000);
    }

    private static void assertNearCentral(TrialSite site, long seed) {
        TrialResult central =
                new Trial(site, new CentralTrialScheduler(site, PARAMETERS), seed).run(5, 30);
        TrialResult fleet = fleet(site, TrialNetwork.SOUND, seed);
        assertThat(fleet.gap()).isLessThan(4 * central.gap());
        assertThat(fleet.utilisation()).isGreaterThan(0.99 * central.utilisation());
        assertThat(fleet.overCommitted()).isLessThanOrEqualTo(PARAMETERS.overcommitSlots());
    }

    private static TrialResult fleet(TrialSite site, TrialNetwork network, long seed) {
        return new Trial(site, new FleetTrialScheduler(site, network, PARAMETERS, seed), seed)
                .run(5, 30);
    }
}
