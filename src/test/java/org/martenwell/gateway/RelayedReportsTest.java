package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.peer.ReportBatches;
import org.martenwell.share.ShareCounts;

/** Tests which reports a relay forwards. */
final class RelayedReportsTest {

    private final RelayedReports one = new RelayedReports("one");

    private final RelayedReports two = new RelayedReports("two");

    @Test
    void testBatchHoldsTheCollectedReportsAndTheOwnReport() {
        one.take(report("a"));
        assertThat(ReportBatches.reports(one.batchWith(report("one"))))
                .containsExactly(report("a"), report("one"));
    }

    /** Guards against a forwarding loop between two relays of a failure domain. */
    @Test
    void testForwardedBatchIsNotForwardedAgain() {
        one.take(ReportBatches.of("foreign", List.of(report("f"))));
        List<ReportBatch> passedOn = one.fromOtherDomains();
        assertThat(passedOn).hasSize(1);
        passedOn.forEach(two::take);
        assertThat(two.fromOtherDomains()).isEmpty();
    }

    @Test
    void testClearRemovesForwardedReports() {
        one.take(ReportBatches.of("foreign", List.of(report("f"))));
        one.clear();
        assertThat(one.fromOtherDomains()).isEmpty();
        assertThat(ReportBatches.reports(one.batchWith(report("one")))).hasSize(1);
    }

    private static GatewayReport report(String name) {
        return new GatewayReport(
                name, 1, 2, List.of(), ShareCounts.NONE, List.of(), List.of(), List.of());
    }
}
