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
    void testAllowReturnsThePriority() {
        assertThat(decide("allow(3)").priority()).isEqualTo(3);
    }

    @Test
    void testPriorityIsClamped() {
        assertThat(decide("allow(99)").priority()).isEqualTo(Verdict.MAX_PRIORITY);
        assertThat(decide("allow(-1)").priority()).isZero();
    }

    @Test
    void testRefuseReturnsTheReason() {
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
    void testExpressionReadsInputs(String condition) {
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
    void testInvalidExpressionIsRejected(String expression) {
        assertThatThrownBy(() -> PolicyCompiler.INSTANCE.compile(expression))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        exception ->
                                assertThat(exception.kind()).isEqualTo(ErrorKind.INVALID_DOCUMENT));
    }

    @Test
    void testTooLargeExpressionIsRejected() {
        String tooManyNodes = "allow(1" + " + 1".repeat(600) + ")";
        String tooManyCharacters = "allow(" + "1".repeat(5_000) + ")";
        assertThatThrownBy(() -> PolicyCompiler.INSTANCE.compile(tooManyNodes))
                .isInstanceOf(MartenwellException.class);
        assertThatThrownBy(() -> PolicyCompiler.INSTANCE.compile(tooManyCharacters))
                .isInstanceOf(MartenwellException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"labels['none'] == '' ? allow(1) : allow(2)", "allow(1 / 0)"})
    void testEvaluationFailureIsReportedAsPolicyFailed(String expression) {
        assertThatThrownBy(() -> decide(expression))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        exception ->
                                assertThat(exception.kind()).isEqualTo(ErrorKind.POLICY_FAILED));
    }

    private static Verdict decide(String expression) {
        return PolicyCompiler.INSTANCE.compile(expression).decide(INPUT);
    }
}
