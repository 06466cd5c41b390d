package org.martenwell.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that quarantines in fleets of several sizes stop harmful requests and serve harmless ones.
 */
final class QuarantineSimulationTest {

    /**
     * The most crashes that a request may cause: the threshold of three, and those through gateways
     * that haven't received all three updates yet.
     */
    private static final int MAX_CRASHES = 5;

    /** The longest time for which a gateway may refuse a harmless request, in milliseconds. */
    private static final long MAX_REFUSED_MILLIS = 1_000;

    /** Each row: gateways, targets, harmful requests, requests per second, seed. */
    @ParameterizedTest
    @CsvSource({
        "7, 11, 1, 200, 1",
        "7, 11, 3, 200, 2",
        "18, 20, 2, 400, 3",
        "61, 62, 5, 1200, 11",
        "95, 58, 1, 1500, 5",
        "95, 58, 5, 1500, 11",
    })
    void testHarmfulRequestsAreQuarantinedAndHarmlessOnesAreServed(
            int gateways, int targets, int harmful, int requestsPerSecond, long seed) {
        QuarantineSimulation.Outcome outcome =
                QuarantineSimulation.run(
                        new QuarantineSimulation.Load(
                                gateways, targets, harmful, requestsPerSecond, seed));
        assertThat(outcome.mostCrashes()).isLessThanOrEqualTo(MAX_CRASHES);
        assertThat(outcome.lateCrashes()).isZero();
        assertThat(outcome.harmlessQuarantined()).isZero();
        assertThat(outcome.refused()).isLessThanOrEqualTo(outcome.harmless() / 1_000);
        assertThat(outcome.longestRefusalMillis()).isLessThanOrEqualTo(MAX_REFUSED_MILLIS);
    }
}
