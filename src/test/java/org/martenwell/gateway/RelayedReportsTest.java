package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.peer.ReportBatches;
import org.martenwell.peer.TargetNotice;
import org.martenwell.share.ShareCounts;

/** Tests which reports a relay forwards. */
final class RelayedReportsTest {

    private final RelayedReports firstRelay = new RelayedReports("one");

    private final RelayedReports secondRelay = new RelayedReports("two");

    @Test
    void testBatchHoldsTheCollectedReportsAndTheOwnReport() {
        firstRelay.add(report("a"));
        assertThat(ReportBatches.reports(firstRelay.batchWith(report("one"))))
                .containsExactly(report("a"), report("one"));
    }

    /**
     * Guards against a notice that each gateway of a failure domain sends being forwarded as often.
     */
    @Test
    void testBatchHoldsEachNoticeOnce() {
        TargetNotice notice = new TargetNotice("t@1", false);
        firstRelay.add(notice);
        firstRelay.add(notice);
        ReportBatch batch = firstRelay.batchWith(report("one"));
        assertThat(ReportBatches.messages(batch)).containsExactly(notice, report("one"));
        assertThat(ReportBatches.reports(batch)).containsExactly(report("one"));
        firstRelay.clear();
        assertThat(ReportBatches.messages(firstRelay.batchWith(report("one")))).hasSize(1);
    }

    /** Guards against a forwarding loop between two relays of a failure domain. */
    @Test
    void testForwardedBatchIsNotForwardedAgain() {
        firstRelay.add(ReportBatches.of("foreign", List.of(report("f"))));
        List<ReportBatch> forwarded = firstRelay.fromOtherDomains();
        assertThat(forwarded).hasSize(1);
        forwarded.forEach(secondRelay::add);
        assertThat(secondRelay.fromOtherDomains()).isEmpty();
    }

    @Test
    void testClearRemovesForwardedReports() {
        firstRelay.add(ReportBatches.of("foreign", List.of(report("f"))));
        firstRelay.clear();
        assertThat(firstRelay.fromOtherDomains()).isEmpty();
        assertThat(ReportBatches.reports(firstRelay.batchWith(report("one")))).hasSize(1);
    }

    private static GatewayReport report(String name) {
        return new GatewayReport(
                name, 1, 2, List.of(), ShareCounts.NONE, List.of(), List.of(), List.of());
    }
}
