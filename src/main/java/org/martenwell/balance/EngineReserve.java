package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Keeps engines clear for requests within fair shares. An engine reads prompts in the order in
 * which they come and every answer that it makes waits meanwhile, so a request beyond its share
 * delays those behind it even if there was room when it came. As many engines are reserved as
 * reading the prompts within shares keeps busy; requests beyond shares use the others, as far as
 * those have room. All gateways reserve the same engines, since they order them by the same hash.
 */
public final class EngineReserve {

    /**
     * The reading time of a token of capacity that is assumed first, in milliseconds: half of a
     * request's tokens are read, at the rate that is assumed first.
     */
    private static final double FIRST_MILLIS_A_TOKEN = 0.5 / ReadingRate.FIRST_RATE;

    /** How much the requests before count in the reading time of a token. */
    private static final double REMEMBERED = 0.98;

    /** For how many tokens the time that is assumed first counts: about a dozen requests. */
    private static final double FIRST_TOKENS = 100_000;

    /** The busy part up to which the last engine that is left is not reserved. */
    private static final double BUSY_FLEET = 0.5;

    /** How long prompts within shares are read, the last ones counting most, in milliseconds. */
    private double readingMillis = FIRST_MILLIS_A_TOKEN * FIRST_TOKENS;

    /** What the requests of these prompts cost, in tokens of capacity. */
    private double costTokens = FIRST_TOKENS;

    /** Creates a reserve that has seen no request. */
    public EngineReserve() {}

    /**
     * Notes that a request within its organisation's share was sent to an engine.
     *
     * @param promptMillis How long its prompt is read, in milliseconds.
     * @param cost What it costs, in tokens of capacity.
     */
    public void sent(double promptMillis, double cost) {
        readingMillis = REMEMBERED * readingMillis + promptMillis;
        costTokens = REMEMBERED * costTokens + cost;
    }

    /**
     * Returns the engines that requests beyond their shares may use.
     *
     * @param engines The engines that take requests.
     * @param tokensPerMilli What organisations ask within their shares, in tokens of capacity a
     *     millisecond.
     * @return Those that are not reserved.
     */
    public List<TargetLoad> spare(List<TargetLoad> engines, double tokensPerMilli) {
        int reserved = reserved(engines.size(), tokensPerMilli * readingMillis / costTokens);
        if (reserved >= engines.size()) {
            return List.of();
        }
        List<TargetLoad> ordered = new ArrayList<>(engines);
        ordered.sort(Comparator.comparingLong(TargetLoad::idHash));
        return ordered.subList(reserved, ordered.size());
    }

    /**
     * Returns how many engines are reserved.
     *
     * @param engines How many engines take requests.
     * @param busy How many engines reading prompts within shares keeps busy.
     * @return The number of engines. A fleet that is half idle always leaves one.
     */
    private static int reserved(int engines, double busy) {
        int needed = (int) Math.ceil(busy);
        return busy <= BUSY_FLEET * engines ? Math.min(needed, engines - 1) : needed;
    }
}
