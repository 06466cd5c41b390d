package org.martenwell.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

class PolicyCompilerTest {

    private static final PolicyInput INPUT =
            new PolicyInput(
                    "clinic",
                    Map.of("tier", "gold"),
                    "small",
                    "",
                    "POST",
                    500,
                    600,
                    3,
                    Map.of("x-purpose", "report"));

    @Test
    void testVerdictAllowsWithPriority() {
        assertThat(decide("allow(3)").priority()).isEqualTo(3);
    }

    @Test
    void testPriorityIsBroughtIntoRange() {
        assertThat(decide("allow(99)").priority()).isEqualTo(Verdict.MAX_PRIORITY);
        assertThat(decide("allow(-1)").priority()).isZero();
    }

    @Test
    void testVerdictRefusesWithReason() {
        assertThat(decide("refuse('at night')").refusal()).contains("at night");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "organisation == 'clinic'",
                "labels['tier'] == 'gold'",
                "model == 'small' && service == ''",
                "method == 'POST'",
                "prompt_bytes < 1000",
                "minute_of_day >= 600 && minute_of_day < 601",
                "day_of_week == 3",
                "headers['x-purpose'].startsWith('rep')",
                "!('x-none' in headers)",
                "model.matches('^sm.*')"
            })
    void testInputsCanBeRead(String condition) {
        assertThat(decide(condition + " ? allow(9) : refuse('no')").priority()).isEqualTo(9);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "1 + 1",
                "allow('high')",
                "unknown == 1 ? allow(1) : allow(2)",
                "allow(1",
                "",
                "[1, 2].all(x, x > 0) ? allow(1) : allow(2)"
            })
    void testWrongProgramsAreRefused(String program) {
        assertThatThrownBy(() -> PolicyCompiler.INSTANCE.compile(program))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        refused ->
                                assertThat(refused.kind()).isEqualTo(ErrorKind.INVALID_DOCUMENT));
    }

    @Test
    void testCostlyProgramsAreRefused() {
        String long1 = "allow(1" + " + 1".repeat(600) + ")";
        String long2 = "allow(" + "1".repeat(5_000) + ")";
        assertThatThrownBy(() -> PolicyCompiler.INSTANCE.compile(long1))
                .isInstanceOf(MartenwellException.class);
        assertThatThrownBy(() -> PolicyCompiler.INSTANCE.compile(long2))
                .isInstanceOf(MartenwellException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"labels['none'] == '' ? allow(1) : allow(2)", "allow(1 / 0)"})
    void testFailureWhileRunningHasItsOwnKind(String program) {
        assertThatThrownBy(() -> decide(program))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        failed -> assertThat(failed.kind()).isEqualTo(ErrorKind.POLICY_FAILED));
    }

    private static Verdict decide(String program) {
        return PolicyCompiler.INSTANCE.compile(program).decide(INPUT);
    }
}
