package org.martenwell.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests how far the share of an organisation is spread over time. */
class ShareCreditsTest {

    private static final double LEVEL = 1_000;

    private static final long WINDOW = 1_000;

    private final ShareCredits credits = new ShareCredits(WINDOW, ShareSums::withinShare);

    /** Guards against gateways that let an organisation in until they know of each other. */
    @Test
    void testGatewaysThatActOnOldSumsTogetherLetInOneShare() {
        Random random = new Random(1);
        List<ShareCredits> gateways = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            ShareCredits gateway = new ShareCredits(WINDOW, ShareSums::withinShare);
            gateway.update(sums(20_000, LEVEL), sums(400, 0), LEVEL, 0);
            gateways.add(gateway);
        }
        double sent = 0;
        for (long now = 0; now < WINDOW; now++) {
            for (int request = 0; request < 4; request++) {
                sent += request(gateways.get(random.nextInt(gateways.size())), 5, now);
            }
        }
        assertThat(sent).isBetween(0.8 * LEVEL, 1.25 * LEVEL);
    }

    /** Guards against an organisation that exceeds its share while its demand rises. */
    @Test
    void testPresentDemandDoesNotChangeWhatIsLetIn() {
        double usual = sentInWindow(2);
        assertThat(usual).isBetween(0.8 * LEVEL, 1.25 * LEVEL);
        assertThat(sentInWindow(20)).isBetween(0.95 * usual, 1.05 * usual);
    }

    /** Returns what is sent of a number of requests in each millisecond. */
    private static double sentInWindow(int requests) {
        ShareCredits gateway = new ShareCredits(WINDOW, ShareSums::withinShare);
        gateway.update(sums(10_000, LEVEL), sums(10_000, 0), LEVEL, 0);
        double sent = 0;
        for (long now = 0; now < WINDOW; now++) {
            for (int request = 0; request < requests; request++) {
                sent += request(gateway, 5, now);
            }
        }
        return sent;
    }

    /** Guards against credit that full engines left unspent and that is then spent at once. */
    @Test
    void testUnspentCreditDoesNotAddUp() {
        credits.update(sums(10_000, LEVEL), sums(10_000, 0), LEVEL, 0);
        double sent = 0;
        for (int request = 0; request < 100; request++) {
            sent += request(credits, 10, WINDOW);
        }
        assertThat(sent).isLessThan(0.25 * LEVEL);
    }

    @Property
    void testNoMoreIsSentThanIsCredited(
            @ForAll @Size(max = 50) List<@DoubleRange(min = 0, max = 500) Double> costs,
            @ForAll @DoubleRange(min = 1_100, max = 50_000) double requested,
            @ForAll @DoubleRange(min = 0, max = 3_000) double used) {
        ShareCredits gateway = new ShareCredits(WINDOW, ShareSums::withinShare);
        gateway.update(sums(requested, used), sums(requested / 2, 0), LEVEL, 0);
        double start = Math.max(0, (LEVEL - used) / 2);
        double rate = Math.max(0, LEVEL / 2 * (1 + 2 * (LEVEL - used) / LEVEL)) / WINDOW;
        double sent = 0;
        long now = 0;
        for (double each : costs) {
            now += 10;
            sent += request(gateway, each, now);
        }
        assertThat(sent).isLessThanOrEqualTo(start + rate * now + 500);
    }

    @Test
    void testLargeRequestsAreSentAsOftenAsSmallOnes() {
        credits.update(sums(10_000, LEVEL), sums(10_000, 0), LEVEL, 0);
        Random random = new Random(1);
        int[] sent = new int[2];
        for (int index = 0; index < 100_000; index++) {
            int large = random.nextInt(2);
            sent[large] += request(credits, large == 1 ? 90 : 10, index) > 0 ? 1 : 0;
        }
        assertThat((double) sent[1] / sent[0]).isBetween(0.9, 1.1);
    }

    @Test
    void testOrganisationWithinItsShareIsNotLimited() {
        credits.update(sums(900, 0), sums(900, 0), LEVEL, 0);
        assertThat(credits.limit("o", 5_000, 0.3, 0)).isEqualTo(0.3);
    }

    @Test
    void testUseBeyondTheShareKeepsItsOrder() {
        credits.update(sums(10_000, 1_500), sums(10_000, 0), LEVEL, 0);
        assertThat(credits.limit("o", 1, 1.4, 0)).isLessThan(credits.limit("o", 1, 1.6, 0));
    }

    @Test
    void testFirstRequestsGetTheGatewaysPartOfWhatIsUnused() {
        credits.update(sums(10_000, 200), sums(2_500, 0), LEVEL, 0);
        double sent = 0;
        for (int index = 0; index < 20; index++) {
            if (credits.limit("o", 20, 0.2, 0) <= 1) {
                credits.spend("o", 20);
                sent += 20;
            }
        }
        assertThat(sent).isBetween(200.0, 220.0);
    }

    @Test
    void testRevertedRequestReturnsItsCredit() {
        credits.update(sums(10_000, LEVEL), sums(10_000, 0), LEVEL, 0);
        credits.spend("o", 100);
        assertThat(credits.limit("o", 100, 1, 0)).isGreaterThan(1);
        credits.spend("o", -100);
        assertThat(credits.limit("o", 100, 1, 0)).isEqualTo(1);
    }

    /** Sends a request if it has credit, and returns what was sent. */
    private static double request(ShareCredits gateway, double tokens, long now) {
        if (gateway.limit("o", tokens, 1, now) > 1) {
            return 0;
        }
        gateway.spend("o", tokens);
        return tokens;
    }

    private static Map<String, ShareSums> sums(double requested, double withinShare) {
        return Map.of("o", new ShareSums(requested, withinShare, withinShare));
    }
}
