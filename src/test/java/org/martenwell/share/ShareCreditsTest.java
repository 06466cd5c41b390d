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

/** Tests how far the share of an organisation is spread over its requests. */
class ShareCreditsTest {

    private static final double LEVEL = 1_000;

    private final ShareCredits credits = new ShareCredits(ShareSums::withinShare);

    /** Guards against gateways that let an organisation in until they know of each other. */
    @Test
    void testGatewaysThatActOnOldSumsTogetherLetInOneShare() {
        Random random = new Random(1);
        List<ShareCredits> gateways = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            ShareCredits gateway = new ShareCredits(ShareSums::withinShare);
            gateway.update(sums(20_000, LEVEL), sums(400, 0), LEVEL);
            gateways.add(gateway);
        }
        double sent = 0;
        for (double requested = 0; requested < 20_000; requested += 5) {
            sent += request(gateways.get(random.nextInt(gateways.size())), 5);
        }
        assertThat(sent).isBetween(0.8 * LEVEL, 1.25 * LEVEL);
    }

    @Property
    void testNoMoreIsSentThanIsCredited(
            @ForAll @Size(max = 50) List<@DoubleRange(min = 0, max = 500) Double> costs,
            @ForAll @DoubleRange(min = 1_100, max = 50_000) double requested,
            @ForAll @DoubleRange(min = 0, max = 3_000) double used) {
        ShareCredits gateway = new ShareCredits(ShareSums::withinShare);
        gateway.update(sums(requested, used), sums(requested / 2, 0), LEVEL);
        double start = Math.max(0, (LEVEL - used) / 2);
        double fraction =
                Math.max(0, Math.min(1, LEVEL / requested * (1 + 2 * (LEVEL - used) / LEVEL)));
        double sent = 0;
        double asked = 0;
        for (double each : costs) {
            sent += request(gateway, each);
            asked += each;
        }
        assertThat(sent).isLessThanOrEqualTo(start + fraction * asked + 500);
    }

    @Test
    void testLargeRequestsAreSentAsOftenAsSmallOnes() {
        credits.update(sums(10_000, LEVEL), sums(10_000, 0), LEVEL);
        Random random = new Random(1);
        int[] sent = new int[2];
        for (int index = 0; index < 100_000; index++) {
            int large = random.nextInt(2);
            sent[large] += request(credits, large == 1 ? 90 : 10) > 0 ? 1 : 0;
        }
        assertThat((double) sent[1] / sent[0]).isBetween(0.9, 1.1);
    }

    @Test
    void testOrganisationWithinItsShareIsNotLimited() {
        credits.update(sums(900, 0), sums(900, 0), LEVEL);
        assertThat(credits.limit("o", 5_000, 0.3)).isEqualTo(0.3);
    }

    @Test
    void testUseBeyondTheShareKeepsItsOrder() {
        credits.update(sums(10_000, 1_500), sums(10_000, 0), LEVEL);
        assertThat(credits.limit("o", 1, 1.4)).isLessThan(credits.limit("o", 1, 1.6));
    }

    @Test
    void testFirstRequestsGetTheGatewaysPartOfWhatIsUnused() {
        credits.update(sums(10_000, 200), sums(2_500, 0), LEVEL);
        double sent = 0;
        for (int index = 0; index < 20; index++) {
            sent += credits.limit("o", 20, 0.2) <= 1 ? 20 : 0;
            credits.spend("o", 20);
        }
        assertThat(sent).isEqualTo(200);
    }

    @Test
    void testRevertedRequestReturnsItsCredit() {
        credits.update(sums(10_000, LEVEL), sums(10_000, 0), LEVEL);
        credits.add("o", 100);
        credits.spend("o", 100);
        assertThat(credits.limit("o", 100, 1)).isGreaterThan(1);
        credits.spend("o", -100);
        assertThat(credits.limit("o", 100, 1)).isEqualTo(1);
    }

    /** Sends a request if it has credit, and returns what was sent. */
    private static double request(ShareCredits gateway, double tokens) {
        gateway.add("o", tokens);
        if (gateway.limit("o", tokens, 1) > 1) {
            return 0;
        }
        gateway.spend("o", tokens);
        return tokens;
    }

    private static Map<String, ShareSums> sums(double requested, double withinShare) {
        return Map.of("o", new ShareSums(requested, withinShare, withinShare));
    }
}
