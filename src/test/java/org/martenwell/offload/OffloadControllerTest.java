package org.martenwell.offload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the use of a box whose requests need their processor time on arrival or later. Guards
 * against a fraction that follows a peak too slowly, and one that oscillates behind it.
 */
final class OffloadControllerTest {

    private static final double SAMPLE_MILLIS = 100;

    private static final double OFFLOAD_COST = 0.25;

    private final OffloadController controller = new OffloadController();

    /** Returns the use that a demand causes while a fraction of its requests is offloaded. */
    private double use(double demand, double fraction) {
        return demand * (1 - fraction + fraction * OFFLOAD_COST);
    }

    private void run(double demand, int samples) {
        for (int index = 0; index < samples; index++) {
            double use = use(demand, controller.fraction());
            controller.sample(Math.min(1, use), use > 1 ? 100 : 2, SAMPLE_MILLIS);
        }
    }

    /** The demand is a multiple of the granted time; 0.5 s are 5 samples. */
    @ParameterizedTest
    @ValueSource(doubles = {1.3, 1.6, 2})
    void testUseIsAimedAtWithinHalfASecond(double demand) {
        run(0.3, 20);
        run(demand, 5);
        assertThat(use(demand, controller.fraction())).isLessThan(0.85);
        run(demand, 30);
        assertThat(use(demand, controller.fraction())).isCloseTo(0.7, within(0.02));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.5, 0.69})
    void testNothingIsOffloadedBelowTheAim(double demand) {
        run(demand, 100);
        assertThat(controller.fraction()).isZero();
    }

    @Test
    void testFractionFallsByHalfAPerSecond() {
        run(4, 10);
        assertThat(controller.fraction()).isEqualTo(OffloadController.MAX_FRACTION);
        double former = controller.fraction();
        for (int index = 0; index < 30; index++) {
            run(0.1, 1);
            assertThat(former - controller.fraction()).isLessThanOrEqualTo(0.05 + 1e-9);
            former = controller.fraction();
        }
        assertThat(controller.fraction()).isZero();
    }

    /** The use follows the fraction late while responses last, by up to 2 s. */
    @ParameterizedTest
    @CsvSource({"1.2, 5", "1.6, 10", "2, 10", "2, 20", "2.4, 20"})
    void testDelayedUseCausesNoOscillation(double demand, int samplesPerResponse) {
        double[] fractions = new double[samplesPerResponse];
        double least = 1;
        double largest = 0;
        double sum = 0;
        for (int index = 0; index < 300; index++) {
            double meanFraction = Arrays.stream(fractions).average().orElse(0);
            double use = use(demand, meanFraction);
            controller.sample(Math.min(1, use), use > 1 ? 100 : 2, SAMPLE_MILLIS);
            fractions[index % samplesPerResponse] = controller.fraction();
            if (index >= 200) {
                least = Math.min(least, controller.fraction());
                largest = Math.max(largest, controller.fraction());
                sum += use(demand, controller.fraction());
            }
        }
        assertThat(largest - least).isLessThan(0.1);
        assertThat(sum / 100).isBetween(0.6, 0.8);
    }

    /** A process may measure more processor time than its box counts. */
    @Test
    void testHighUseWithoutLagOffloadsGradually() {
        run(0.3, 20);
        controller.sample(1, 1, SAMPLE_MILLIS);
        controller.sample(1, 1, SAMPLE_MILLIS);
        assertThat(controller.fraction()).isLessThan(0.1);
    }
}
