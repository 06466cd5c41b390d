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
 * Two organisations asked for several times their shares in a fleet of 59 gateways. The callers of
 * one came to a single gateway, those of the other to all. In six calm seconds the first got 2.2 M
 * tokens and the other 4.9 M.
 *
 * <p>Each gateway lets an organisation use its share as long as the whole fleet has not used it, as
 * far as the gateway has heard. Words of peers are half a second old. A gateway that has all
 * callers of an organisation stops at the share exactly; of one whose callers are spread, every
 * gateway lets requests in until it hears of the others, all stop for a window, and all begin again
 * at once. The log of a gateway showed it: level 0.86 M tokens a window, the first organisation got
 * 0.97 M within its share, the other one 2.71 M, then 0.41 M, then 2.83 M.
 */
final class FairSharesOfFleetTest {

    private static final long WINDOW = 4_000;

    /** How often gateways tell their counts, in milliseconds. */
    private static final long TELL_MILLIS = 400;

    /** How long a word takes by relays, in milliseconds. */
    private static final long DELAY_MILLIS = 150;

    /** How many times its share each of the two organisations asks for. */
    private static final double ASKED_SHARES = 16;

    /** What a request costs on average, in tokens. */
    private static final double MEAN_COST = 4_600;

    /** What the fleet is promised to produce in a window, in tokens. */
    private static final double CAPACITY = 2_000_000;

    /** When both organisations have been counted for a whole window, in milliseconds. */
    private static final long CALM_MILLIS = 6_000;

    /** Over how long what they got is compared, in milliseconds. */
    private static final long COMPARED_MILLIS = 6_000;

    private final List<FairShares> gateways = new ArrayList<>();

    private final Map<String, Double> got = new HashMap<>();

    @ParameterizedTest
    @CsvSource({"7,1", "18,2", "59,3", "59,4", "95,5"})
    void testOrganisationsOfOneAndOfAllGatewaysGetTheSame(int count, long seed) {
        play(count, seed);
        double level = CAPACITY / 2 * COMPARED_MILLIS / WINDOW;
        assertThat(got.get("one")).isBetween(0.8 * level, 1.25 * level);
        assertThat(got.get("spread")).isBetween(0.8 * level, 1.25 * level);
    }

    /** Lets both organisations ask for a while and sums up what they got within their shares. */
    private void play(int count, long seed) {
        Random random = new Random(seed);
        List<Word> words = new ArrayList<>();
        for (int gateway = 0; gateway < count; gateway++) {
            gateways.add(new FairShares(WINDOW));
        }
        double perMilli = ASKED_SHARES * (CAPACITY / 2) / WINDOW / MEAN_COST;
        for (long now = 0; now < CALM_MILLIS + COMPARED_MILLIS; now++) {
            tell(words, now);
            if (random.nextDouble() < perMilli) {
                ask(gateways.get(0), "one", cost(random), now);
            }
            if (random.nextDouble() < perMilli) {
                ask(gateways.get(random.nextInt(count)), "spread", cost(random), now);
            }
        }
    }

    private record Word(int from, ShareCounts counts, long at) {}

    /** Lets gateways tell their counts in turn and hear those that have arrived. */
    private void tell(List<Word> words, long now) {
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            if ((now + gateway * 7L) % TELL_MILLIS == 0) {
                words.add(new Word(gateway, gateways.get(gateway).own(now), now + DELAY_MILLIS));
            }
        }
        while (!words.isEmpty() && words.get(0).at() <= now) {
            Word word = words.remove(0);
            for (int gateway = 0; gateway < gateways.size(); gateway++) {
                if (gateway != word.from()) {
                    gateways.get(gateway).peer("g" + word.from(), word.counts(), now);
                }
            }
        }
    }

    /** Most requests are small; one in ten is a large one, up to twelve times the mean. */
    private static double cost(Random random) {
        return random.nextInt(10) > 0
                ? MEAN_COST * (0.2 + random.nextDouble() * 0.6)
                : MEAN_COST * (1 + random.nextDouble() * 9);
    }

    private void ask(FairShares gateway, String organisation, double tokens, long now) {
        gateway.asked(organisation, tokens, now);
        ShareTier tier = gateway.use(organisation, tokens, CAPACITY, now).tier();
        if (tier == ShareTier.PROMISED) {
            gateway.begun(organisation, tokens, tier, now);
            if (now >= CALM_MILLIS) {
                got.merge(organisation, tokens, Double::sum);
            }
        }
    }
}
