package org.martenwell.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that quarantines in fleets of several sizes stop parts of prompts that crash targets, and
 * go on serving requests that share all other parts.
 */
final class PromptPartSimulationTest {

    /**
     * The most requests with a part that may reach targets later than 3 s behind its fifth crash.
     */
    private static final int MAX_LATE = 3;

    /** Each row: gateways, targets, harmful parts, requests per second, restart, seed. */
    @ParameterizedTest
    @CsvSource({
        "7, 8, 1, 150, 0, 1",
        "7, 8, 2, 150, 0, 2",
        "9, 6, 1, 130, 0, 3",
        "9, 6, 1, 130, 7000, 4",
        "18, 20, 2, 400, 0, 5",
        "61, 62, 3, 1200, 0, 6",
        "95, 58, 3, 1500, 7000, 7",
    })
    void testHarmfulPartsAreQuarantinedAndOthersAreServed(
            int gateways,
            int targets,
            int harmful,
            int requestsPerSecond,
            long restartMillis,
            long seed) {
        PromptPartSimulation.Outcome outcome =
                PromptPartSimulation.run(
                        new PromptPartSimulation.Load(
                                gateways,
                                targets,
                                harmful,
                                requestsPerSecond,
                                0,
                                restartMillis,
                                seed));
        assertThat(outcome.lateArrivals()).isLessThanOrEqualTo(MAX_LATE);
        assertThat(outcome.firstPartRefused()).isLessThan(0.5);
        assertThat(outcome.refused()).isLessThanOrEqualTo(outcome.sound() / 100);
    }

    /**
     * Guards against streams that are refused for good because harmful parts crashed one target
     * after another under them. Each row: gateways, targets, harmful parts, seed.
     */
    @ParameterizedTest
    @CsvSource({"7, 8, 2, 1", "9, 6, 1, 2", "9, 6, 2, 3", "18, 20, 3, 4"})
    void testStreamsBesideHarmfulPartsGoOn(int gateways, int targets, int harmful, long seed) {
        PromptPartSimulation.Outcome outcome =
                PromptPartSimulation.run(
                        new PromptPartSimulation.Load(
                                gateways, targets, harmful, 100, 100, 0, seed));
        assertThat(outcome.streamsBlamed()).isZero();
        assertThat(outcome.lateArrivals()).isLessThanOrEqualTo(MAX_LATE);
    }
}
