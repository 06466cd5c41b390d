package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against refusing requests that could be served in time, against serving them late instead,
 * and against looking at the engines more often than with a fixed wait. The figures of both are in
 * the commit that added this test.
 */
final class WaitSimulationTest {

    private static final long SEED = 1;

    @Test
    void testOverload() {
        WaitSimulation.Load load = new WaitSimulation.Load(0.7, 1.5, 1, 1, false);
        WaitSimulation.Outcome before = WaitSimulation.before(load, SEED);
        WaitSimulation.Outcome after = WaitSimulation.after(load, SEED);
        assertBetter(before, after);
        assertThat(after.value()).isGreaterThan((int) (1.05 * before.value()));
    }

    @Test
    void testHalfOfThePlacesLost() {
        WaitSimulation.Load load = new WaitSimulation.Load(0.8, 0.8, 0.5, 1, false);
        WaitSimulation.Outcome before = WaitSimulation.before(load, SEED);
        WaitSimulation.Outcome after = WaitSimulation.after(load, SEED);
        assertBetter(before, after);
        assertThat(after.value()).isGreaterThan((int) (1.05 * before.value()));
    }

    @Test
    void testOrganisationAtFiveTimesItsShare() {
        WaitSimulation.Load load = new WaitSimulation.Load(0.6, 1.2, 1, 5, true);
        WaitSimulation.Outcome before = WaitSimulation.before(load, SEED);
        WaitSimulation.Outcome after = WaitSimulation.after(load, SEED);
        assertBetter(before, after);
        assertThat(after.value()).isGreaterThan(before.value());
        assertThat(after.othersInTime()).isGreaterThan((int) (0.98 * before.othersInTime()));
    }

    /** Nothing may change where the condition of the feature does not occur. */
    @Test
    void testQuietSystem() {
        WaitSimulation.Load load = new WaitSimulation.Load(0.5, 0.5, 1, 1, false);
        WaitSimulation.Outcome after = WaitSimulation.after(load, SEED);
        assertThat(after).isEqualTo(WaitSimulation.before(load, SEED));
        assertThat(after.inTime()).isEqualTo(after.total());
        assertThat(after.waited()).isZero();
    }

    private static void assertBetter(WaitSimulation.Outcome before, WaitSimulation.Outcome after) {
        assertThat(after.total()).isEqualTo(before.total());
        assertThat(after.inTime()).isGreaterThanOrEqualTo(before.inTime());
        assertThat(after.late()).isLessThan(before.late());
        assertThat(after.searches()).isLessThan(before.searches());
    }
}
