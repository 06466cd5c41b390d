package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.martenwell.route.EngineCapacity;
import org.martenwell.share.ShareTier;

/**
 * Chooses the model engine for a request: among those that have room and reach the first event in
 * time, one that costs little, counting its backlog, what it would have to read and how full it is.
 *
 * <p>What is known of engines is some time old in a large fleet. If all gateways chose the one that
 * costs least, they would choose the same until they heard of each other. So each cost is blurred
 * as far as it may have changed meanwhile. In a replay of 13 requests a second for each of 53
 * engines, 95 gateways that heard of each other after 0.3 s answered 0.60 of the requests in time
 * and had 0.05 rejected by engines without that, against 0.99 and none with it.
 */
public final class EngineChooser {

    /** The part of an engine's memory that requests may fill. */
    private static final double MEMORY_FILL = 0.9;

    /** The part of an objective that a first event may be planned to take. */
    private static final double PLANNED = 0.85;

    /** What an engine in another failure domain costs, in milliseconds. */
    private static final double FAR_MILLIS = 4;

    /** What a full engine costs more than an empty one, in milliseconds. */
    private static final double FULL_MILLIS = 60;

    /** What an engine that fails all requests costs, in milliseconds. */
    private static final double FAILING_MILLIS = 2_000;

    /** How long a copy of parts of a prompt takes, in milliseconds. */
    private static final double COPY_MILLIS = 12;

    /** What an engine gains at least by being the first by hash for a prompt, in milliseconds. */
    private static final double LEAST_PREFERENCE_MILLIS = 6;

    /** The failure domain of this gateway. */
    private final String failureDomain;

    /** Blurs costs. */
    private final Random random;

    /**
     * Creates a chooser.
     *
     * @param failureDomain The failure domain of this gateway.
     * @param random Blurs costs.
     */
    public EngineChooser(String failureDomain, Random random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    /**
     * Returns what a request costs an engine, so that others wait for it.
     *
     * @param unreadMillis How long its prompt is read, in milliseconds.
     * @param slots How many requests the engine runs at a time.
     * @return The cost in milliseconds.
     */
    public static double workMillis(double unreadMillis, int slots) {
        return unreadMillis + FULL_MILLIS / Math.max(1, slots);
    }

    /**
     * Returns the engines that may have room for a request. What they keep of its prompt is not
     * looked at, which takes most of the time of a choice, so that a request that waits in a busy
     * fleet costs little.
     *
     * @param need What the request needs.
     * @param tier Which fair share it is within.
     * @param loads The engines.
     * @param terms What they hold.
     * @param rate How fast they read.
     * @param now The present time, in milliseconds.
     * @return The engines with a place, memory, and a backlog that leaves time.
     */
    public List<TargetLoad> withRoom(
            PromptNeed need,
            ShareTier tier,
            Collection<TargetLoad> loads,
            EngineCapacity terms,
            ReadingRate rate,
            long now) {
        double longestWait = allowedWait(need, tier, 0, rate, now);
        List<TargetLoad> found = new ArrayList<>();
        for (TargetLoad each : loads) {
            LoadSums sums = each.all(now);
            if (hasRoom(each, sums, need, tier, terms)
                    && rate.millis(sums.unreadTokens()) <= longestWait) {
                found.add(each);
            }
        }
        return found;
    }

    /**
     * Chooses an engine.
     *
     * @param need What the request needs.
     * @param tier Which fair share it is within.
     * @param candidates The engines with room, as {@link #withRoom} tells.
     * @param keepers What engines keep of the prompt.
     * @param terms What engines hold.
     * @param rate How fast they read.
     * @param unseenMillis The work that each engine may have got without this gateway's knowing, in
     *     milliseconds.
     * @param now The present time, in milliseconds.
     * @return The choice or empty if none reaches the first event in time.
     */
    public Optional<EngineChoice> choose(
            PromptNeed need,
            ShareTier tier,
            Collection<TargetLoad> candidates,
            PromptKeepers keepers,
            EngineCapacity terms,
            ReadingRate rate,
            double unseenMillis,
            long now) {
        double preference = preferenceMillis(need, keepers, rate);
        EngineChoice best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (TargetLoad each : candidates) {
            LoadSums sums = each.all(now);
            double backlog = rate.millis(sums.unreadTokens());
            Optional<TargetLoad> source =
                    terms.canCopyCache() ? keepers.source(each) : Optional.empty();
            long kept = source.isPresent() ? keepers.most() : keepers.keptTokens(each);
            long unread = need.promptTokens() - kept;
            double reading = rate.millis(unread) + (source.isPresent() ? COPY_MILLIS : 0);
            if (backlog > allowedWait(need, tier, reading, rate, now)) {
                continue;
            }
            double cost =
                    backlog
                            + reading
                            + FULL_MILLIS * sums.requests() / slots(each, terms)
                            + FAILING_MILLIS * each.health().failureShare(now)
                            + (each.target().failureDomain().equals(failureDomain) ? 0 : FAR_MILLIS)
                            - (keepers.isFirst(each) ? preference : 0)
                            + blur(unseenMillis);
            if (cost < bestCost) {
                bestCost = cost;
                best = new EngineChoice(each, unread, backlog, source);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns a random change of a cost. With these changes, which follow a Gumbel distribution, an
     * engine is chosen the more seldom the more it costs: by a factor of e for each unit.
     *
     * @param unitMillis The unit, in milliseconds.
     * @return The change in milliseconds, 0 if the unit is.
     */
    private double blur(double unitMillis) {
        if (unitMillis <= 0) {
            return 0;
        }
        double uniform = random.nextDouble(Double.MIN_VALUE, 1);
        return unitMillis * Math.log(-Math.log(uniform));
    }

    /**
     * Returns what an engine gains by being the first by hash for a prompt. Parts that nobody is
     * known to keep may be on their way to an engine from another gateway, which chooses by the
     * same hash; reading them twice costs as much again.
     *
     * @param need What the request needs.
     * @param keepers What engines keep of the prompt.
     * @param rate How fast engines read.
     * @return The gain in milliseconds.
     */
    private static double preferenceMillis(
            PromptNeed need, PromptKeepers keepers, ReadingRate rate) {
        long unkept = Math.max(0, need.chain().totalTokens() - keepers.most());
        return Math.max(LEAST_PREFERENCE_MILLIS, rate.millis(unkept));
    }

    /**
     * Tells whether an engine has a place and memory for a request.
     *
     * @param load The engine.
     * @param sums What all gateways put on it.
     * @param need What the request needs.
     * @param tier Which fair share it is within.
     * @param terms What the engine holds.
     * @return {@code true} if it has.
     */
    private static boolean hasRoom(
            TargetLoad load, LoadSums sums, PromptNeed need, ShareTier tier, EngineCapacity terms) {
        double fill = tier.fill();
        long memory = sums.memoryTokens() + need.ownTokens() + need.answerTokens();
        return sums.requests() < fill * slots(load, terms)
                && (sums.requests() == 0 || memory < fill * MEMORY_FILL * terms.memoryTokens());
    }

    /**
     * Returns how long an engine may be busy before a request.
     *
     * @param need What the request needs.
     * @param tier Which fair share it is within.
     * @param reading How long its own prompt is read, in milliseconds.
     * @param rate How fast engines read.
     * @param now The present time, in milliseconds.
     * @return The time in milliseconds.
     */
    private static double allowedWait(
            PromptNeed need, ShareTier tier, double reading, ReadingRate rate, long now) {
        double least = tier.waitPart() * need.objectiveMillis();
        if (tier == ShareTier.BEYOND) {
            return least;
        }
        double left =
                PLANNED * need.objectiveMillis()
                        - (now - need.arrivedMillis())
                        - rate.baseMillis()
                        - reading;
        return Math.max(left, least);
    }

    /**
     * Returns how many requests an engine runs at a time.
     *
     * @param load The engine.
     * @param terms What engines of its service hold.
     * @return The number of requests.
     */
    private static int slots(TargetLoad load, EngineCapacity terms) {
        return load.target().slots() > 0 ? load.target().slots() : terms.slots();
    }
}
