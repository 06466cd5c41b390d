package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

final class UnseenWorkTest {

    private final UnseenWork unseen = new UnseenWork();

    @Test
    void testGatewayThatIsAloneMissesNothing() {
        unseen.sent(100, 0);
        assertThat(unseen.perTarget(10, 0)).isZero();
        assertThat(unseen.perTarget(0, 0)).isZero();
    }

    /** Ten others that send 0.2 ms of work in a millisecond each miss 6 ms a target in 0.3 s. */
    @Test
    void testOthersSendWhatThisGatewaySends() {
        unseen.fleet(10, 300);
        for (long now = 0; now < 20_000; now += 100) {
            unseen.sent(20, now);
        }
        assertThat(unseen.perTarget(100, 20_000)).isCloseTo(6, within(0.5));
    }

    @Test
    void testWorkIsForgotten() {
        unseen.fleet(10, 300);
        unseen.sent(1_000, 0);
        assertThat(unseen.perTarget(1, 20_000)).isLessThan(0.1);
    }
}
