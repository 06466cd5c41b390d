package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against counting a request as new after each unreachable target, which would add too much
 * to the retry budget.
 */
class SendHistoryTest {

    private final SendHistory history = new SendHistory();

    @Test
    void testOnlyFirstAttemptCountsAsNewRequest() {
        assertThat(history.recordAttempt("one")).isTrue();
        history.recordUnreachable();
        assertThat(history.recordAttempt("two")).isFalse();
        history.withdrawAttempt();
        assertThat(history.recordAttempt("three")).isFalse();
        assertThat(history.attempts()).isEqualTo(1);
    }

    @Test
    void testFourthUnreachableTargetIsTheLast() {
        for (int target = 0; target < 3; target++) {
            history.recordAttempt("target-" + target);
            history.recordUnreachable();
        }
        assertThat(history.mayTryAnotherTarget()).isTrue();
        history.recordAttempt("target-3");
        history.recordUnreachable();
        assertThat(history.mayTryAnotherTarget()).isFalse();
        assertThat(history.attempts()).isZero();
        assertThat(history.triedTargets()).hasSize(4);
    }
}
