package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TargetHealthTest {

    @Test
    void testConsecutiveFailuresSuspendForATimeThatDoubles() {
        TargetHealth health = new TargetHealth();
        health.failed(0);
        health.failed(0);
        assertThat(health.isAvailable(0)).isTrue();
        health.failed(0);
        assertThat(health.isAvailable(399)).isFalse();
        assertThat(health.isAvailable(400)).isTrue();
        health.failed(400);
        assertThat(health.isAvailable(1_199)).isFalse();
        assertThat(health.isAvailable(1_200)).isTrue();
    }

    @Test
    void testFailureToConnectSuspendsImmediately() {
        TargetHealth health = new TargetHealth();
        health.connectFailed(0);
        assertThat(health.isAvailable(399)).isFalse();
        assertThat(health.isAvailable(400)).isTrue();
        health.connectFailed(400);
        assertThat(health.isAvailable(1_199)).isFalse();
        health.succeeded(1_200);
        health.failed(1_200);
        assertThat(health.isAvailable(1_200)).isTrue();
    }

    @Test
    void testSuccessEndsTheSuspension() {
        TargetHealth health = new TargetHealth();
        for (int count = 0; count < 50; count++) {
            health.failed(0);
        }
        assertThat(health.isAvailable(3_199)).isFalse();
        health.succeeded(1);
        assertThat(health.isAvailable(1)).isTrue();
    }

    @Test
    void testFailureRateFallsWithTimeAndSuccess() {
        TargetHealth health = new TargetHealth();
        health.failed(0);
        double first = health.failureRate(0);
        assertThat(health.failureRate(3_000)).isLessThan(first / 2);
        health.succeeded(0);
        assertThat(health.failureRate(0)).isLessThan(first);
    }

    @Test
    void testOnlyATargetThatRespondsMayBeTriedWhileItIsSuspended() {
        TargetHealth health = new TargetHealth();
        for (int count = 0; count < 3; count++) {
            health.respondedWithFailure(0);
        }
        assertThat(health.isAvailable(0)).isFalse();
        assertThat(health.mayBeTried(0)).isTrue();
        health.failed(0);
        assertThat(health.mayBeTried(0)).isFalse();
        health.respondedWithFailure(0);
        health.connectFailed(0);
        assertThat(health.mayBeTried(0)).isFalse();
        health.suspend(0, 400);
        health.respondedWithFailure(0);
        assertThat(health.mayBeTried(399)).isFalse();
        assertThat(health.mayBeTried(400)).isTrue();
    }
}
