package org.martenwell.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an organisation whose requests arrive at all gateways getting more than its share.
 * Gateways know each other's counts only with a delay, so each of them admits requests until the
 * next report shows that the share is used up.
 */
final class FairSharesOfFleetTest {

    private static final long WINDOW = 4_000;

    /** The interval of a gateway's reports, in milliseconds. */
    private static final long REPORT_MILLIS = 400;

    /** The delay of a report sent through relays, in milliseconds. */
    private static final long DELAY_MILLIS = 150;

    /** The demand of each organisation, as a multiple of its share. */
    private static final double DEMAND_FACTOR = 16;

    /** The mean cost of a request, in tokens. */
    private static final double MEAN_COST = 4_600;

    /** The promised capacity in a window, in tokens. */
    private static final double CAPACITY = 2_000_000;

    /** The time before the comparison, longer than a window, in milliseconds. */
    private static final long WARM_UP_MILLIS = 6_000;

    /** The length of the comparison, in milliseconds. */
    private static final long COMPARED_MILLIS = 6_000;

    private final List<FairShares> gateways = new ArrayList<>();

    /** The tokens sent in the compared time, by organisation. */
    private final Map<String, Double> sentTokens = new HashMap<>();

    @ParameterizedTest
    @CsvSource({"7,1", "18,2", "59,3", "59,4", "95,5"})
    void testOrganisationsOfOneAndOfAllGatewaysGetTheSame(int count, long seed) {
        simulate(count, seed);
        double level = CAPACITY / 2 * COMPARED_MILLIS / WINDOW;
        assertThat(sentTokens.get("one")).isBetween(0.8 * level, 1.25 * level);
        assertThat(sentTokens.get("spread")).isBetween(0.8 * level, 1.25 * level);
    }

    /** Simulates the requests of both organisations and sums up those within their shares. */
    private void simulate(int count, long seed) {
        Random random = new Random(seed);
        List<Report> reports = new ArrayList<>();
        for (int gateway = 0; gateway < count; gateway++) {
            gateways.add(new FairShares(WINDOW));
        }
        double requestsPerMilli = DEMAND_FACTOR * (CAPACITY / 2) / WINDOW / MEAN_COST;
        for (long now = 0; now < WARM_UP_MILLIS + COMPARED_MILLIS; now++) {
            exchangeReports(reports, now);
            if (random.nextDouble() < requestsPerMilli) {
                request(gateways.get(0), "one", cost(random), now);
            }
            if (random.nextDouble() < requestsPerMilli) {
                request(gateways.get(random.nextInt(count)), "spread", cost(random), now);
            }
        }
    }

    private record Report(int from, ShareCounts counts, long arrivalMillis) {}

    /**
     * Sends the reports that are due, staggered by gateway, and delivers those that have arrived.
     */
    private void exchangeReports(List<Report> reports, long now) {
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            if ((now + gateway * 7L) % REPORT_MILLIS == 0) {
                reports.add(
                        new Report(gateway, gateways.get(gateway).own(now), now + DELAY_MILLIS));
            }
        }
        while (!reports.isEmpty() && reports.get(0).arrivalMillis() <= now) {
            Report report = reports.remove(0);
            for (int gateway = 0; gateway < gateways.size(); gateway++) {
                if (gateway != report.from()) {
                    gateways.get(gateway)
                            .applyPeerReport("g" + report.from(), report.counts(), now);
                }
            }
        }
    }

    /** Returns a random cost; one request in ten is large, up to ten times the mean. */
    private static double cost(Random random) {
        return random.nextInt(10) > 0
                ? MEAN_COST * (0.2 + random.nextDouble() * 0.6)
                : MEAN_COST * (1 + random.nextDouble() * 9);
    }

    private void request(FairShares gateway, String organisation, double tokens, long now) {
        gateway.requested(organisation, tokens, now);
        ShareTier tier = gateway.use(organisation, tokens, CAPACITY, now).tier();
        if (tier == ShareTier.PROMISED) {
            gateway.sent(organisation, tokens, tier, now);
            if (now >= WARM_UP_MILLIS) {
                sentTokens.merge(organisation, tokens, Double::sum);
            }
        }
    }
}
