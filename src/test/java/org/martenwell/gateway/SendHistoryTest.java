package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Behind a crash of many targets a request may meet up to four that refuse its connection before it
 * is sent. By reading: each of them earned the gateway a fifth of a retry, since the request was
 * counted as a new one each time it was sent for the first time again. The fleet then made more
 * retries than the requests of its callers allow, just when targets were few. A request is new only
 * as long as no target was tried.
 */
class SendHistoryTest {

    private final SendHistory history = new SendHistory();

    @Test
    void testRequestCountsAsNewOnceThoughItsTargetsWereNotReached() {
        assertThat(history.begin("one")).isTrue();
        history.connectFailed();
        assertThat(history.begin("two")).isFalse();
        history.notSent();
        assertThat(history.begin("three")).isFalse();
        assertThat(history.attempts()).isEqualTo(1);
    }

    @Test
    void testFourthTargetThatIsNotReachedIsTheLast() {
        for (int target = 0; target < 3; target++) {
            history.begin("target-" + target);
            history.connectFailed();
        }
        assertThat(history.mayTryFurther()).isTrue();
        history.begin("target-3");
        history.connectFailed();
        assertThat(history.mayTryFurther()).isFalse();
        assertThat(history.attempts()).isZero();
        assertThat(history.tried()).hasSize(4);
    }
}
