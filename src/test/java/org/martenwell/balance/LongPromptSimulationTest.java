package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against short prompts that are late behind long ones, and against a separation that makes
 * long prompts late or leaves engines idle while requests wait. Bounds are those of two seeds with
 * an allowance for the scatter between seeds.
 */
final class LongPromptSimulationTest {

    /** The requests per second for each engine. */
    private static final double LOAD = 6;

    private static final int SEEDS = 2;

    /** The results of the short kinds and of long prompts. */
    private record Results(KindResult shorts, KindResult longs) {}

    @Test
    void testShortPromptsAreRarelyLateBehindLongOnes() {
        Results before = simulate("steady", PlacementAlternative.NONE, false);
        Results after = simulate("steady", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.shorts().lateBehindLong())
                .isLessThan(before.shorts().lateBehindLong() * 4 / 10);
        assertThat(after.longs().missed()).isLessThanOrEqualTo(before.longs().missed());
        assertThat(after.shorts().pausedCount()).isLessThan(before.shorts().pausedCount());
    }

    @Test
    void testObjectivesOfTheOtherCustomer() {
        Results before = simulate("B", PlacementAlternative.NONE, false);
        Results after = simulate("B", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.shorts().lateBehindLong())
                .isLessThan(before.shorts().lateBehindLong() * 4 / 10);
        assertThat(after.shorts().missed()).isLessThan(before.shorts().missed() * 7 / 10);
        assertThat(after.longs().missed()).isLessThanOrEqualTo(before.longs().missed());
    }

    @Test
    void testBurstOfLongPrompts() {
        Results before = simulate("burst", PlacementAlternative.NONE, false);
        Results after = simulate("burst", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.shorts().lateBehindLong()).isLessThan(before.shorts().lateBehindLong());
        assertThat(after.longs().missed()).isLessThan(before.longs().missed() * 11 / 10);
    }

    @Test
    void testMixThatFlipsFromShortToLong() {
        Results before = simulate("flip", PlacementAlternative.NONE, false);
        Results after = simulate("flip", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.shorts().lateBehindLong())
                .isLessThan(before.shorts().lateBehindLong() / 2);
        assertThat(after.longs().missed()).isLessThan(before.longs().missed() * 12 / 10);
    }

    @Test
    void testLossOfHalfOfTheEngines() {
        Results before = simulate("loss", PlacementAlternative.NONE, true);
        Results after = simulate("loss", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.shorts().missed() + after.longs().missed())
                .isLessThan((before.shorts().missed() + before.longs().missed()) * 13 / 10);
    }

    @Test
    void testOnlyLongPrompts() {
        Results before = simulate("only long", PlacementAlternative.NONE, true);
        Results after = simulate("only long", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.longs().missed()).isLessThan(before.longs().missed() * 11 / 10);
    }

    @Test
    void testOnlyShortPrompts() {
        Results after = simulate("only short", PlacementAlternative.SPEED_CLASSES, true);
        assertThat(after.shorts().inTimeShare()).isGreaterThan(0.995);
    }

    private static Results simulate(
            String name, PlacementAlternative alternative, boolean speedsKnown) {
        LongPromptScenarios.Case simulated = LongPromptScenarios.cases(LOAD).get(name);
        Results sum = new Results(new KindResult(), new KindResult());
        for (int seed = 1; seed <= SEEDS; seed++) {
            Map<String, KindResult> results =
                    PlacementSimulation.simulate(
                            simulated.scenario(seed),
                            simulated.model(),
                            () ->
                                    speedsKnown
                                            ? alternative.withSpeeds(LongPromptScenarios::speed)
                                            : alternative.rule(LongPromptScenarios::speed));
            results.forEach(
                    (kind, result) ->
                            (kind.equals(LongPromptScenarios.LONG) ? sum.longs() : sum.shorts())
                                    .add(result));
        }
        assertThat(sum.shorts().waitsBesideIdle() + sum.longs().waitsBesideIdle()).isZero();
        return sum;
    }
}
