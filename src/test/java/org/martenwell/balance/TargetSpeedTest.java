package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests what gateways learn of the speeds of engines from each other's samples. */
class TargetSpeedTest {

    private static final int GATEWAYS = 91;

    private static final int ENGINES = 78;

    /** The samples of a gateway per second. */
    private static final double SAMPLES = 9;

    /** The part of periods in which an engine is slow. */
    private static final double SLOW_PART = 0.15;

    /** Guards against gateways that know the speeds only after a burst of 7 s is half over. */
    @Test
    void testSpeedsAreLearntFromPeersWithinTwoSeconds() {
        SpeedFleet fleet = fleet(0, 0, 0, SpeedFleet.uneven(ENGINES));
        fleet.run(2_000);
        assertThat(fleet.learntPart()).isGreaterThan(0.85);
        fleet.run(1_000);
        assertThat(fleet.learntPart()).isGreaterThan(0.95);
        assertThat(fleet.factor(0, 0)).isBetween(0.5, 0.62);
        assertThat(fleet.factor(0, 1)).isBetween(1.15, 1.3);
    }

    /** Guards against short slow periods that make an engine count as slow for longer. */
    @Test
    void testShortSlowPeriodsAreIgnored() {
        SpeedFleet fleet = fleet(SLOW_PART, 0, 0, SpeedFleet.uneven(ENGINES));
        fleet.run(3_000);
        assertThat(fleet.learntPart()).isGreaterThan(0.9);
        for (int second = 0; second < 5; second++) {
            fleet.run(1_000);
            assertThat(fleet.learntPart()).isGreaterThan(0.93);
        }
    }

    /** Guards against equal engines that are treated differently because of noise. */
    @Test
    void testEqualEnginesStayAtExactlyOne() {
        SpeedFleet fleet = fleet(0, 0, 0, SpeedFleet.even(ENGINES));
        for (int part = 0; part < 10; part++) {
            fleet.run(500);
            assertThat(fleet.unequalPart()).isZero();
        }
    }

    /** Guards against equal engines that are treated differently because of slow periods. */
    @Test
    void testEqualEnginesWithSlowPeriodsReturnToOne() {
        SpeedFleet fleet = fleet(SLOW_PART, 0, 0, SpeedFleet.even(ENGINES));
        for (int part = 0; part < 8; part++) {
            fleet.run(500);
            assertThat(fleet.unequalPart()).isLessThan(0.05);
        }
        for (int part = 0; part < 6; part++) {
            fleet.run(500);
            assertThat(fleet.unequalPart()).isLessThan(0.005);
        }
    }

    /**
     * Guards against treating all engines as slow while the expected rate is still the initial one.
     */
    @Test
    void testWrongExpectationOfAllGatewaysHasNoEffect() {
        SpeedFleet fleet = fleet(0, 0, 0, SpeedFleet.even(ENGINES));
        for (double factor : new double[] {1.4, 1.4, 1.4, 1.4, 1.3, 1.2, 1.1, 1, 1, 1}) {
            fleet.overestimate(factor);
            fleet.run(500);
            assertThat(fleet.unequalPart()).isZero();
        }
    }

    /** Guards against lost and repeated notices that falsify the speeds. */
    @Test
    void testLostAndRepeatedNoticesHardlyMatter() {
        SpeedFleet fleet = fleet(0, 0.2, 0.2, SpeedFleet.uneven(ENGINES));
        fleet.run(4_000);
        assertThat(fleet.learntPart()).isGreaterThan(0.97);
        SpeedFleet equal = fleet(0, 0.2, 0.2, SpeedFleet.even(ENGINES));
        equal.run(4_000);
        assertThat(equal.unequalPart()).isZero();
    }

    /** Guards against a gateway that has to learn the speeds from its own requests alone. */
    @Test
    void testGatewayThatStartsLateLearnsFromPeers() {
        SpeedFleet fleet = fleet(0, 0, 0, SpeedFleet.uneven(ENGINES));
        fleet.run(1_000);
        int late = fleet.addGateway();
        fleet.run(2_500);
        assertThat(fleet.learntPart(late)).isGreaterThan(0.9);
    }

    /** Guards against a target that inherits the speed of the one it replaces. */
    @Test
    void testTargetThatStartsAgainIsLearntAnew() {
        SpeedFleet fleet = fleet(0, 0, 0, SpeedFleet.uneven(ENGINES));
        fleet.run(3_000);
        assertThat(fleet.factor(0, 0)).isLessThan(0.7);
        fleet.restart(0, 1.2);
        assertThat(fleet.factor(0, 0)).isEqualTo(1);
        fleet.run(3_000);
        assertThat(fleet.factor(0, 0)).isGreaterThan(1.1);
    }

    /** Guards against a speed that outlives the reports it was estimated from. */
    @Test
    void testSpeedsDecayToOneWithoutReports() {
        SpeedFleet fleet = fleet(0, 0, 0, SpeedFleet.uneven(ENGINES));
        fleet.run(3_000);
        fleet.pause(30_000);
        assertThat(fleet.unequalPart()).isZero();
    }

    /** Guards against malformed reports, and against one sample that outweighs all others. */
    @Test
    void testReportsAreLimited() {
        TargetSpeed speed = new TargetSpeed();
        speed.apply(new TargetSpeedReport("t", 0, 1_000), 0);
        speed.apply(new TargetSpeedReport("t", -5, 1_000), 0);
        assertThat(speed.logarithm(900)).isEmpty();
        speed.apply(new TargetSpeedReport("t", 20, Long.MAX_VALUE), 0);
        speed.apply(new TargetSpeedReport("t", 20, Long.MAX_VALUE), 900);
        assertThat(speed.logarithm(900).orElseThrow()).isBetween(1.3, Math.log(4));
        speed.reset();
        speed.observe(1e-9, 0);
        for (int sample = 0; sample < 20; sample++) {
            speed.observe(1, 900);
        }
        assertThat(speed.logarithm(900).orElseThrow()).isBetween(-0.06, 0.06);
    }

    /** Guards against samples that are reported twice. */
    @Test
    void testReportContainsTheSamplesSinceTheLastOne() {
        TargetSpeed speed = new TargetSpeed();
        assertThat(speed.takeReport("t")).isEmpty();
        speed.observe(0.5, 0);
        speed.observe(2, 0);
        speed.observe(0.5, 0);
        assertThat(speed.takeReport("t")).contains(new TargetSpeedReport("t", 3, -693));
        assertThat(speed.takeReport("t")).isEmpty();
    }

    private static SpeedFleet fleet(
            double slowPart, double lostPart, double repeatedPart, double... speeds) {
        return new SpeedFleet(
                new SpeedFleet.Scenario(GATEWAYS, SAMPLES, slowPart, lostPart, repeatedPart, 1),
                speeds);
    }
}
