package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.martenwell.share.AdmissionShares;
import org.martenwell.share.RefusalReason;

/** Guards against a gateway that refuses nearly all requests twice for one overload. */
final class OverloadLimiterTest {

    private static final int REQUESTS = 10_000;

    private boolean heapFull;

    private double lagFraction;

    private double processorFraction;

    private final OverloadLimiter limiter =
            new OverloadLimiter(
                    () -> heapFull,
                    () -> lagFraction,
                    () -> processorFraction,
                    new AdmissionShares(organisation -> 0),
                    new Random(1));

    @Test
    void testLagAndProcessorTimeOfOneOverloadDoNotAddUp() {
        lagFraction = 0.95;
        processorFraction = 0.9;
        assertThat(admitted(RefusalReason.LOOP_LAG)).isBetween(400, 600);
    }

    @Test
    void testTheLargerFractionIsRefused() {
        lagFraction = 0.2;
        processorFraction = 0.5;
        assertThat(admitted(RefusalReason.PROCESSOR)).isBetween(4_800, 5_200);
    }

    @Test
    void testNothingIsRefusedBelowTheLimits() {
        assertThat(limiter.refusing()).isFalse();
        assertThat(admitted(RefusalReason.HEAP)).isEqualTo(REQUESTS);
    }

    /** Guards against refusing streams that the fleet has admitted while new ones begin. */
    @Test
    void testContinuedStreamsAreRefusedForTheHeapAlone() {
        lagFraction = 1;
        processorFraction = 1;
        assertThat(limiter.refusalOfContinued("organisation", 1_000, 0)).isEmpty();
        heapFull = true;
        assertThat(limiter.refusalOfContinued("organisation", 1_000, 0))
                .contains(RefusalReason.HEAP);
    }

    /** Guards against streams that are continued at the cost of other organisations. */
    @Test
    void testContinuedStreamsCountToTheDemandOfTheirOrganisation() {
        processorFraction = 0.5;
        for (int request = 0; request < 1_000; request++) {
            limiter.refusalOfContinued("continues", 1_000, request / 10);
        }
        int modest = 0;
        int greedy = 0;
        for (int request = 0; request < 1_000; request++) {
            modest += limiter.refusal("other", 1_000, 100).isEmpty() ? 1 : 0;
            greedy += limiter.refusal("continues", 1_000, 100).isEmpty() ? 1 : 0;
        }
        assertThat(modest).isGreaterThan(greedy);
    }

    /** Returns how many requests are admitted of those of one organisation. */
    private int admitted(RefusalReason reason) {
        int admitted = 0;
        for (int request = 0; request < REQUESTS; request++) {
            Optional<RefusalReason> refusal = limiter.refusal("organisation", 1_000, request / 10);
            refusal.ifPresent(each -> assertThat(each).isEqualTo(reason));
            admitted += refusal.isEmpty() ? 1 : 0;
        }
        return admitted;
    }
}
