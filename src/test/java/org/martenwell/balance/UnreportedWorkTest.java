package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

final class UnreportedWorkTest {

    private final UnreportedWork unreported = new UnreportedWork();

    @Test
    void testSingleGatewayHasNoUnreportedWork() {
        unreported.sent(100, 0);
        assertThat(unreported.perTarget(10, 0)).isZero();
        assertThat(unreported.perTarget(0, 0)).isZero();
    }

    /** Ten peers that each send 0.2 ms of work per millisecond add 6 ms per target in 0.3 s. */
    @Test
    void testPeersAreAssumedToSendAsMuch() {
        unreported.updateFleet(10, 300);
        for (long now = 0; now < 20_000; now += 100) {
            unreported.sent(20, now);
        }
        assertThat(unreported.perTarget(100, 20_000)).isCloseTo(6, within(0.5));
    }

    @Test
    void testWorkDecays() {
        unreported.updateFleet(10, 300);
        unreported.sent(1_000, 0);
        assertThat(unreported.perTarget(1, 20_000)).isLessThan(0.1);
    }

    /** Guards against a gateway with most of the requests that expects as many from each peer. */
    @Test
    void testScaledWorkFollowsWhatPeersRun() {
        unreported.updateFleet(10, 300);
        unreported.sent(1_000, 0);
        double assumed = unreported.perTarget(100, 0);
        observe(50, 50);
        assertThat(unreported.scaledPerTarget(100, 0)).isCloseTo(assumed / 10, within(1e-6));
        observe(10, 100);
        assertThat(unreported.scaledPerTarget(100, 0)).isCloseTo(assumed, within(1e-3));
    }

    /** Guards against more unreported work than by an even spread, as when no own request runs. */
    @Test
    void testScaledWorkIsBounded() {
        unreported.updateFleet(10, 300);
        unreported.sent(1_000, 0);
        observe(0, 500);
        assertThat(unreported.scaledPerTarget(100, 0)).isEqualTo(unreported.perTarget(100, 0));
    }

    @Test
    void testSingleGatewayHasNoScaledWork() {
        unreported.sent(100, 0);
        observe(5, 0);
        assertThat(unreported.scaledPerTarget(10, 0)).isZero();
    }

    private void observe(long own, long peers) {
        for (int count = 0; count < 1_000; count++) {
            unreported.observeRunning(own, peers);
        }
    }
}
