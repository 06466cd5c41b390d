package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.martenwell.configuration.Contract;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;

class AdmissionControlTest {

    private static final Contract CONTRACT = new Contract("c", "p", 1, 10, 2, 3, 4, 1_000);

    private final AdmissionControl control = new AdmissionControl(6, 1_000);

    @Test
    void testRateAllowsABurstThenRejectsWithRetryAfter() {
        for (int index = 0; index < 3; index++) {
            control.admitRate("a", CONTRACT, 0);
        }
        MartenwellException rejection = rejectionOf(() -> control.admitRate("a", CONTRACT, 0));
        assertThat(rejection.kind()).isEqualTo(ErrorKind.RATE_EXCEEDED);
        assertThat(rejection.retryAfterMillis()).hasValue(500);
        control.admitRate("a", CONTRACT, 500);
    }

    @Test
    void testRatesOfOrganisationsAreIndependent() {
        for (int index = 0; index < 3; index++) {
            control.admitRate("a", CONTRACT, 0);
        }
        control.admitRate("b", CONTRACT, 0);
    }

    @Test
    void testFullQueueDoesNotAffectOtherOrganisations() {
        for (int index = 0; index < 4; index++) {
            control.admitToQueue("a", CONTRACT, 10, 0);
        }
        MartenwellException rejection =
                rejectionOf(() -> control.admitToQueue("a", CONTRACT, 10, 0));
        assertThat(rejection.kind()).isEqualTo(ErrorKind.QUEUE_FULL);
        assertThat(rejection.outcome()).isEqualTo(Outcome.NOT_RUN);
        control.admitToQueue("b", CONTRACT, 10, 0);
    }

    @Test
    void testMemoryOfQueuedRequestsIsBounded() {
        control.admitToQueue("a", CONTRACT, 900, 0);
        assertThat(rejectionOf(() -> control.admitToQueue("b", CONTRACT, 101, 0)).kind())
                .isEqualTo(ErrorKind.ROUTER_FULL);
        control.leaveQueue("a", 900, true, 0);
        control.admitToQueue("b", CONTRACT, 101, 0);
    }

    @Test
    void testRequestThatWouldWaitTooLongIsRejected() {
        control.admitToQueue("a", CONTRACT, 1, 0);
        for (int index = 1; index <= 10; index++) {
            control.admitToQueue("a", CONTRACT, 1, index * 400L);
            control.leaveQueue("a", 1, true, index * 400L);
        }
        control.admitToQueue("a", CONTRACT, 1, 4_000);
        MartenwellException rejection =
                rejectionOf(() -> control.admitToQueue("a", CONTRACT, 1, 4_000));
        assertThat(rejection.kind()).isEqualTo(ErrorKind.WAIT_TOO_LONG);
        assertThat(rejection.retryAfterMillis().getAsLong()).isBetween(100L, 2_000L);
    }

    @Test
    void testTooShortAMeasurementRejectsNothing() {
        control.admitToQueue("a", CONTRACT, 1, 0);
        control.leaveQueue("a", 1, true, 3_000);
        control.admitToQueue("a", CONTRACT, 1, 3_000);
        control.admitToQueue("a", CONTRACT, 1, 9_000);
    }

    @Test
    void testRetriesAreAShareOfFirstAttempts() {
        RetryBudget budget = new RetryBudget();
        int allowed = 0;
        for (int index = 0; index < 1_000; index++) {
            budget.countFirstAttempt();
            allowed += budget.takeRetry() ? 1 : 0;
        }
        assertThat(allowed).isBetween(100, 121);
    }

    private static MartenwellException rejectionOf(ThrowingCallable action) {
        assertThatThrownBy(action).isInstanceOf(MartenwellException.class);
        try {
            action.call();
            return null;
        } catch (MartenwellException rejection) {
            return rejection;
        } catch (Throwable other) {
            throw new AssertionError(other);
        }
    }
}
