package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.GatewayReport;
import org.martenwell.share.ShareTier;

/** Tests how often reports include fair shares. */
final class ReportBuilderTest {

    /** Longer than the interval of shares in a large fleet, in milliseconds. */
    private static final long LATER_MILLIS = 1_000;

    /**
     * The fleet's capacity per window, in tokens; an eighth of it counts at the start of the first
     * window.
     */
    private static final double SHARED_TOKENS = 8 * 500;

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final GatewayCore core = GatewayCores.of(loop);

    private final ReportBuilder reportBuilder = new ReportBuilder(core, "self", 1);

    @Test
    void testEachReportInASmallFleetIncludesShares() {
        core.shares().requested("o", 10, core.now());
        assertThat(reportBuilder.next(false).shares().sums()).hasSize(1);
        assertThat(reportBuilder.next(false).shares().sums()).hasSize(1);
    }

    @Test
    void testSomeReportsInALargeFleetIncludeShares() {
        core.shares().requested("o", 10, core.now());
        assertThat(reportBuilder.next(true).shares().sums()).hasSize(1);
        assertThat(reportBuilder.next(true).shares().sums()).isEmpty();
        advanceClock(LATER_MILLIS);
        assertThat(reportBuilder.next(true).shares().sums()).hasSize(1);
    }

    @Test
    void testReportWithoutSharesKeepsThoseOfTheLastOne() {
        GatewayCore peer = GatewayCores.of(loop);
        ReportReceiver receiver = new ReportReceiver(peer);
        core.shares().requested("o", 1_000, core.now());
        core.shares().sent("o", 1_000, ShareTier.PROMISED, core.now());
        GatewayReport first = reportBuilder.next(true);
        receiver.apply(first);
        receiver.apply(reportBuilder.next(true));
        assertThat(peer.shares().use("o", 0, SHARED_TOKENS, core.now()).promised()).isEqualTo(2);
    }

    /** Advances the clock. */
    private void advanceClock(long millis) {
        nowMillis += millis;
        loop.post(() -> {});
        loop.run();
    }
}
