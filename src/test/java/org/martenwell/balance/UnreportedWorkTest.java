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
}
