package org.martenwell.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FairSharesTest {

    private static final long WINDOW = 4_000;

    @Property(tries = 500, seed = "21")
    void testLevelAllocatesExactlyTheCapacity(
            @ForAll @Size(min = 1, max = 20)
                    List<@DoubleRange(min = 0, max = 1_000) Double> requested,
            @ForAll @DoubleRange(min = 1, max = 5_000) double capacity) {
        Map<String, Double> demands = new HashMap<>();
        requested.forEach(each -> demands.put("o" + demands.size(), each));
        double level = MaxMinFairness.level(demands, capacity);
        double total = requested.stream().mapToDouble(Double::doubleValue).sum();
        double given = requested.stream().mapToDouble(each -> Math.min(each, level)).sum();
        assertThat(given).isCloseTo(Math.min(total, capacity), within(1e-6 * (1 + total)));
    }

    @Test
    void testNoShareIsExceededWhileAllDemandsAreMet() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("a", 900, 0);
        shares.sent("a", 900, ShareTier.PROMISED, 0);
        assertThat(shares.use("a", 10, 1_000, 3_900).tier()).isEqualTo(ShareTier.PROMISED);
    }

    @Test
    void testUseOfTheObservedShareIsReported() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("flood", 10_000, 0);
        shares.sent("flood", 3_000, ShareTier.PROMISED, 0);
        shares.requested("small", 500, 0);
        shares.sent("small", 100, ShareTier.PROMISED, 0);
        shares.use("small", 1, 1_000, 0);
        assertThat(shares.observedUse("flood")).isGreaterThan(1);
        assertThat(shares.observedUse("small")).isLessThan(0.2);
        assertThat(shares.observedUse("none")).isZero();
    }

    @Test
    void testRefreshIntervalGrowsWithTheNumberOfPeers() {
        FairShares shares = new FairShares(WINDOW);
        for (int peer = 0; peer < 60; peer++) {
            shares.applyPeerReport("p" + peer, counts(Map.of("o", new ShareSums(100, 10, 10))), 0);
        }
        assertThat(shares.use("o", 0, 600, 0).promised()).isEqualTo(1);
        shares.applyPeerReport("p0", counts(Map.of("o", new ShareSums(100, 610, 610))), 1);
        assertThat(shares.use("o", 0, 600, 50).promised()).isEqualTo(1);
        assertThat(shares.use("o", 0, 600, 100).promised()).isEqualTo(2);
    }

    @Test
    void testFloodingOrganisationIsBeyondItsShareAndOthersAreNot() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("flood", 10_000, 0);
        shares.sent("flood", 950, ShareTier.PROMISED, 0);
        shares.requested("small", 100, 0);
        assertThat(shares.use("flood", 10, 1_000, 100).tier()).isNotEqualTo(ShareTier.PROMISED);
        assertThat(shares.use("small", 10, 1_000, 100).tier()).isEqualTo(ShareTier.PROMISED);
    }

    @Test
    void testObservedCapacityIsSharedFairly() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("favoured", 10_000, 0);
        shares.sent("favoured", 3_000, ShareTier.PROMISED, 0);
        shares.requested("refused", 10_000, 0);
        shares.sent("refused", 600, ShareTier.PROMISED, 0);
        ShareUse refused = shares.use("refused", 10, 1_000, 100);
        assertThat(refused.tier()).isEqualTo(ShareTier.OBSERVED);
        assertThat(shares.use("favoured", 10, 1_000, 100).tier()).isEqualTo(ShareTier.BEYOND);
    }

    /** Guards against refusals within the share after an organisation has used idle capacity. */
    @Test
    void testUseBeyondTheShareDoesNotCountAgainstIt() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("large", 10_000, 0);
        shares.sent("large", 3_000, ShareTier.BEYOND, 0);
        shares.requested("small", 100, 0);
        assertThat(shares.use("large", 10, 1_000, 100).tier()).isEqualTo(ShareTier.PROMISED);
        shares.sent("large", 900, ShareTier.PROMISED, 100);
        assertThat(shares.use("large", 10, 1_000, 200).tier()).isNotEqualTo(ShareTier.PROMISED);
    }

    @Test
    void testPeerReportsCountUntilTheyExpire() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("a", 100, 0);
        Map<String, ShareSums> reported =
                Map.of("a", new ShareSums(5_000, 900, 900), "b", new ShareSums(5_000, 0, 0));
        shares.applyPeerReport("p", counts(reported), 0);
        assertThat(shares.use("a", 10, 1_000, 100).promised()).isGreaterThan(1);
        assertThat(shares.use("a", 10, 1_000, 3_000).promised()).isLessThan(1);
    }

    /** Guards against one organisation using a whole window's capacity directly after a start. */
    @Test
    void testShareDirectlyAfterAStartIsLimitedToTheCountedTime() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("flood", 900, 0);
        shares.sent("flood", 400, ShareTier.PROMISED, 0);
        shares.requested("small", 100, 0);
        assertThat(shares.use("flood", 10, 1_000, 300).tier()).isNotEqualTo(ShareTier.PROMISED);
        assertThat(shares.use("small", 10, 1_000, 300).tier()).isEqualTo(ShareTier.PROMISED);
    }

    @Test
    void testStartedGatewayUsesTheCountedTimeOfItsPeers() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("a", 400, 0);
        shares.sent("a", 400, ShareTier.PROMISED, 0);
        shares.applyPeerReport("p", counts(Map.of("b", new ShareSums(500, 500, 500))), 0);
        assertThat(shares.use("a", 10, 1_000, 300).tier()).isEqualTo(ShareTier.PROMISED);
    }

    @Test
    void testCountedTimeRestartsAfterAPause() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("a", 100, 0);
        assertThat(shares.own(3_000).countedMillis()).isEqualTo(3_000);
        assertThat(shares.own(WINDOW).countedMillis()).isEqualTo(WINDOW);
        shares.requested("a", 100, 10_000);
        assertThat(shares.own(10_600).countedMillis()).isEqualTo(600);
    }

    @Test
    void testPromisedDemandIsAFractionOfThePromisedCapacity() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("flood", 10_000, 0);
        shares.requested("small", 100, WINDOW);
        shares.use("small", 10, 1_000, WINDOW);
        assertThat(shares.promisedDemand()).isCloseTo(0.1, within(1e-9));
    }

    @Test
    void testUnstartedRequestIsSubtractedFromTheBucketOfItsSendTime() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("a", 900, 0);
        shares.sent("a", 500, ShareTier.PROMISED, 0);
        shares.sent("a", 200, ShareTier.BEYOND, 1_000);
        shares.revertSent("a", 500, ShareTier.PROMISED, 0, 1_500);
        assertThat(shares.own(1_500).sums().get("a")).isEqualTo(new ShareSums(900, 200, 0));
        shares.revertSent("a", 200, ShareTier.BEYOND, 1_000, 9_000);
        assertThat(shares.own(9_000).sums()).isEmpty();
    }

    @Test
    void testSummaryListsTheHighestDemand() {
        FairShares shares = new FairShares(WINDOW);
        shares.requested("little", 1, WINDOW);
        shares.requested("much", 50, WINDOW);
        shares.sent("much", 20, ShareTier.BEYOND, WINDOW);
        shares.use("much", 10, 30, WINDOW);
        assertThat(shares.summary(1))
                .hasToString("level 3, observed 19, produced 20, much asked 50 got 20 within 0");
    }

    @Test
    void testExpiredBucketsAreCleared() {
        SlidingSum sum = new SlidingSum(1_600);
        sum.add(5, 0);
        sum.add(7, 1_000);
        assertThat(sum.sum(1_500)).isEqualTo(12);
        assertThat(sum.sum(1_700)).isEqualTo(7);
        assertThat(sum.sum(10_000)).isZero();
    }

    /** Returns the counts of a peer that cover a whole window. */
    private static ShareCounts counts(Map<String, ShareSums> sums) {
        return new ShareCounts(WINDOW, sums);
    }
}
