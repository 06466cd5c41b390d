package org.martenwell.offload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.offload.OffloadSimulation.Result;

/**
 * Replays a load balancer that assigns callers by a hash, so that a box of 0.27 processors gets
 * half of 600 requests per second beside 90 boxes that are nearly idle. Guards against a busy
 * gateway that refuses what others could serve, and against gateways that are overloaded by
 * helping.
 */
final class OffloadSimulationTest {

    private static final int SECONDS = 5;

    /**
     * Perfect knowledge refuses 22 of 100 at 300 requests per second, since offloading all of them
     * costs the box more than it grants, and 61 if it uses only the 0.87 that the limiter aims at.
     * Without offloading 90 are refused, and most of the others wait.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void testHalfOfTheRequestsAtOneSmallBox(int busy) {
        Result alone = OffloadSimulation.run(false, busy, 300, SECONDS, 1);
        Result helped = OffloadSimulation.run(true, busy, 300, SECONDS, 1);
        assertThat(OffloadSimulation.leastRefusedFraction(300, 270)).isBetween(0.21, 0.23);
        assertThat(OffloadSimulation.leastRefusedFraction(300, 0.87 * 270)).isBetween(0.6, 0.62);
        assertThat(alone.refusedFraction()).isGreaterThan(0.85);
        assertThat(alone.inTimeFraction()).isLessThan(0.1);
        assertThat(helped.refusedFraction()).isLessThan(0.65);
        assertThat(helped.inTimeFraction()).isGreaterThan(0.33);
        assertThat(helped.busyLagMillis()).isLessThan(50);
        assertHelpersKeepUp(helped);
    }

    /** The rates are 0.9 to 1.9 times what the box grants; perfect knowledge refuses nothing. */
    @ParameterizedTest
    @CsvSource({"1, 60", "1, 100", "1, 150", "3, 100", "3, 150", "13, 150"})
    void testNearlyNothingIsRefusedUpToTwiceTheGrant(int busy, double rate) {
        Result result = OffloadSimulation.run(true, busy, rate, SECONDS, 2);
        assertThat(result.refusedFraction()).isLessThan(0.02);
        assertThat(result.settledUse()).isBetween(0.6, 0.82);
        assertThat(result.movementPerSecond()).isLessThan(0.25);
        assertHelpersKeepUp(result);
    }

    /**
     * Guards against gateways that choose the same helpers by the same notices. A third of the
     * fleet asks the others for most of the processor time that they offer.
     */
    @Test
    void testManyBusyGatewaysDoNotOverloadTheOthers() {
        Result result = OffloadSimulation.run(true, 30, 150, SECONDS, 1);
        assertThat(result.refusedFraction()).isLessThan(0.02);
        assertThat(result.rejected()).isLessThan(45);
        assertThat(result.lateHelperFraction()).isLessThan(0.01);
        assertThat(result.refusedElsewhere()).isZero();
    }

    /** A fleet that isn't busy offloads nothing. */
    @Test
    void testNothingIsOffloadedWithoutABusyBox() {
        Result result = OffloadSimulation.run(true, 1, 20, SECONDS, 1);
        assertThat(result.fractions()).containsOnly(0.0);
        assertThat(result.peersUsed()).isZero();
    }

    private static void assertHelpersKeepUp(Result result) {
        assertThat(result.refusedElsewhere()).isZero();
        assertThat(result.worstHelperLagMillis()).isLessThan(50);
        assertThat(result.rejected()).isLessThan(1);
        assertThat(result.peersUsed()).isLessThanOrEqualTo(2 * OffloadPeers.MAX_USED);
    }
}
