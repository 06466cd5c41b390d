package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.UnevenEnginesSimulation.Knowledge;

/** Guards against requests that are late because slow engines get as much work as fast ones. */
final class UnevenEnginesSimulationTest {

    private static final int ENGINES = 26;

    /** The load of an engine, in requests per second. */
    private static final double LOAD = 8;

    private static final int SEEDS = 2;

    @Test
    void testFewerRequestsAreLateIfSpeedsAreLearnt() {
        double[] speeds = SpeedFleet.uneven(ENGINES);
        double without = latePart(speeds, Knowledge.NONE);
        double learnt = latePart(speeds, Knowledge.LEARNT);
        double told = latePart(speeds, Knowledge.TOLD);
        assertThat(told).isLessThan(0.5 * without);
        assertThat(learnt).isLessThan(0.6 * without);
    }

    /** Verifies that the load is one that the engines can serve. */
    @Test
    void testPerfectKnowledgeServesAllInTime() {
        assertThat(latePart(SpeedFleet.uneven(ENGINES), Knowledge.PERFECT)).isLessThan(0.005);
    }

    /** Guards against estimated speeds that harm equal engines. */
    @Test
    void testLearningDoesNotHarmEqualEngines() {
        double[] speeds = SpeedFleet.even(ENGINES);
        assertThat(latePart(speeds, Knowledge.LEARNT))
                .isLessThan(latePart(speeds, Knowledge.NONE) + 0.01);
    }

    private static double latePart(double[] speeds, Knowledge knowledge) {
        List<Double> boxed = Arrays.stream(speeds).boxed().toList();
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum +=
                    1
                            - UnevenEnginesSimulation.simulate(
                                            new UnevenEnginesSimulation.Scenario(
                                                    boxed, 0, LOAD, seed),
                                            knowledge)
                                    .inTimePart();
        }
        return sum / SEEDS;
    }
}
