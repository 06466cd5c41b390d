package org.martenwell.fairness;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.martenwell.share.Disposition;

/** Guards against a report that hides how close an organisation came to half of its share. */
class FairnessReportTest {

    private static final int SECONDS = 8;

    private final ServiceHistory history = new ServiceHistory();

    @Test
    void testShareIsMeasuredAgainstTheBestServed() {
        add("low", "g1", 100, 10, Disposition.REFUSED);
        add("low", "g2", 50, 5, Disposition.DEADLINE);
        add("high", "g1", 100, 60, Disposition.REFUSED);
        ServedShare least = FairnessReport.of(history).leastShares().get(0);
        assertThat(least.organisation()).isEqualTo("low");
        assertThat(least.best()).isEqualTo("high");
        assertThat(least.fraction()).isCloseTo(15.0 / 60, within(1e-9));
        assertThat(least.counts().ended(Disposition.REFUSED)).isEqualTo(6 * 90);
        assertThat(least.counts().ended(Disposition.DEADLINE)).isEqualTo(6 * 45);
    }

    @Test
    void testShareIsMeasuredAgainstSmallerDemand() {
        add("small", "g1", 20, 15, Disposition.WAITED);
        add("high", "g1", 100, 60, Disposition.REFUSED);
        assertThat(FairnessReport.of(history).leastShares().get(0).fraction())
                .isCloseTo(0.75, within(1e-9));
    }

    @Test
    void testWindowWithAllServedInOneSecondDoesNotCount() {
        add("low", "g1", 100, 10, Disposition.REFUSED);
        ServiceHistory served = new ServiceHistory();
        for (long second = 0; second < SECONDS; second++) {
            boolean all = second % FairnessReport.WINDOW_SECONDS == 2;
            served.add(
                    new ServiceHistory.Entry(
                            second, "g", "o", counts(10, all ? 10 : 1, Disposition.REFUSED)));
        }
        assertThat(FairnessReport.of(served).leastShares()).isEmpty();
        assertThat(FairnessReport.of(history).leastShares()).hasSize(1);
    }

    @Test
    void testLinesNameTheGatewayWithMostUnserved() {
        add("low", "g1", 100, 10, Disposition.OVERLOADED);
        add("low", "g2", 20, 10, Disposition.REFUSED);
        add("high", "g3", 100, 60, Disposition.REFUSED);
        assertThat(FairnessReport.of(history).lines(1))
                .containsExactly(
                        "0.33 low from 1970-01-01T00:00:00Z: requested 720, served 120, refused 60, overloaded"
                                + " 540, waited 0, deadline 0, failed 0; best served high 360",
                        "  at g1: requested 600, served 60, refused 0, overloaded 540, waited 0,"
                                + " deadline 0, failed 0",
                        "  at g2: requested 120, served 60, refused 60, overloaded 0, waited 0,"
                                + " deadline 0, failed 0");
    }

    private void add(
            String organisation, String gateway, long requested, long served, Disposition rest) {
        for (long second = 0; second < SECONDS; second++) {
            history.add(
                    new ServiceHistory.Entry(
                            second, gateway, organisation, counts(requested, served, rest)));
        }
    }

    private static TokenCounts counts(long requested, long served, Disposition rest) {
        return new TokenCounts(
                requested, Map.of(Disposition.SERVED, served, rest, requested - served));
    }
}
