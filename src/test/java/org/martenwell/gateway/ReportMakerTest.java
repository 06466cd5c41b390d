package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.GatewayReport;
import org.martenwell.share.ShareTier;

/** Tests what gateways tell each other of shares, and how often. */
final class ReportMakerTest {

    /** Longer than shares are left out in a large fleet, in milliseconds. */
    private static final long LATER_MILLIS = 1_000;

    /** What a fleet produces in a window of which it has counted an eighth, the least, tokens. */
    private static final double SHARED_TOKENS = 8 * 500;

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final GatewayCore core = GatewayCores.of(loop);

    private final ReportMaker maker = new ReportMaker(core, "self", 1);

    @Test
    void testSmallFleetIsToldSharesInEachReport() {
        core.shares().requested("o", 10, core.now());
        assertThat(maker.next(false).shares().sums()).hasSize(1);
        assertThat(maker.next(false).shares().sums()).hasSize(1);
    }

    @Test
    void testLargeFleetIsToldSharesNowAndThen() {
        core.shares().requested("o", 10, core.now());
        assertThat(maker.next(true).shares().sums()).hasSize(1);
        assertThat(maker.next(true).shares().sums()).isEmpty();
        pass(LATER_MILLIS);
        assertThat(maker.next(true).shares().sums()).hasSize(1);
    }

    @Test
    void testReportWithoutSharesLeavesThoseOfTheLastOne() {
        GatewayCore peer = GatewayCores.of(loop);
        ReportIntake intake = new ReportIntake(peer);
        core.shares().requested("o", 1_000, core.now());
        core.shares().sent("o", 1_000, ShareTier.PROMISED, core.now());
        GatewayReport first = maker.next(true);
        intake.take(first);
        intake.take(maker.next(true));
        assertThat(peer.shares().use("o", 0, SHARED_TOKENS, core.now()).promised()).isEqualTo(2);
    }

    /** Lets time pass. */
    private void pass(long millis) {
        nowMillis += millis;
        loop.post(() -> {});
        loop.run();
    }
}
