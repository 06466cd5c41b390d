package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how the interval of reports grows with the fleet. */
final class ReportPaceTest {

    @Test
    void testSmallFleetReportsAtTheShortestInterval() {
        assertThat(ReportPace.intervalMillis(0)).isEqualTo(40);
        assertThat(ReportPace.intervalMillis(9)).isEqualTo(40);
    }

    @Test
    void testReportsThatAGatewayGetsStayBounded() {
        for (int members = 2; members <= 60; members++) {
            double perSecond = (members - 1) * 1000.0 / ReportPace.intervalMillis(members);
            assertThat(perSecond).isLessThanOrEqualTo(335);
        }
    }

    @Test
    void testReportsComeMoreOftenThanTheyAreForgotten() {
        assertThat(ReportPace.intervalMillis(380)).isEqualTo(200);
    }
}
