package org.martenwell.share;

import java.util.HashMap;
import java.util.Map;

/** Tells whether an organisation is within its fair share of the fleet's capacity. */
public final class FairShares {

    /** How long a computed level is used without peers, in milliseconds. */
    private static final long LEVEL_MILLIS = 25;

    /** How much longer it is used for each peer, whose words take time to sum up. */
    private static final long LEVEL_MILLIS_A_PEER = 1;

    /** How old a peer's word may be, in milliseconds. */
    private static final long PEER_WORD_MILLIS = 1_500;

    /** The window in milliseconds. */
    private final long windowMillis;

    /** What organisations asked here. */
    private final Map<String, SlidingSum> asked = new HashMap<>();

    /** What organisations got here. */
    private final Map<String, SlidingSum> begun = new HashMap<>();

    /** What peers told, by peer. */
    private final Map<String, PeerSums> peers = new HashMap<>();

    /** What the fleet's organisations asked and got when the level was computed. */
    private Map<String, ShareSums> fleet = Map.of();

    /** The level. */
    private double level = Double.POSITIVE_INFINITY;

    /** The level of what the fleet really produced, if that is more than it is promised. */
    private double observedLevel = Double.POSITIVE_INFINITY;

    /** When the level was computed, in milliseconds. */
    private long levelMillis = Long.MIN_VALUE / 2;

    /**
     * A peer's word.
     *
     * @param sums What organisations asked and got there.
     * @param heardMillis When it was heard, in milliseconds.
     */
    private record PeerSums(Map<String, ShareSums> sums, long heardMillis) {}

    /**
     * Creates shares of which nothing is used.
     *
     * @param windowMillis The window in milliseconds.
     */
    public FairShares(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Notes a request.
     *
     * @param organisation The organisation.
     * @param tokens What it asks for, in tokens.
     * @param now The present time, in milliseconds.
     */
    public void asked(String organisation, double tokens, long now) {
        asked.computeIfAbsent(organisation, name -> new SlidingSum(windowMillis)).add(tokens, now);
    }

    /**
     * Notes that a request was sent to a target, or with a negative amount that it did not run.
     *
     * @param organisation The organisation.
     * @param tokens Its tokens.
     * @param now The present time, in milliseconds.
     */
    public void begun(String organisation, double tokens, long now) {
        begun.computeIfAbsent(organisation, name -> new SlidingSum(windowMillis)).add(tokens, now);
    }

    /**
     * Takes in a peer's word.
     *
     * @param peer The peer's name.
     * @param sums What organisations asked and got there in the last window.
     * @param now The present time, in milliseconds.
     */
    public void peer(String peer, Map<String, ShareSums> sums, long now) {
        peers.put(peer, new PeerSums(sums, now));
    }

    /**
     * Returns what organisations asked and got here in the last window.
     *
     * @param now The present time, in milliseconds.
     * @return The sums by organisation.
     */
    public Map<String, ShareSums> own(long now) {
        Map<String, ShareSums> sums = new HashMap<>();
        for (Map.Entry<String, SlidingSum> each : asked.entrySet()) {
            double got = 0;
            if (begun.containsKey(each.getKey())) {
                got = begun.get(each.getKey()).sum(now);
            }
            double wanted = each.getValue().sum(now);
            if (wanted > 0 || got > 0) {
                sums.put(each.getKey(), new ShareSums(wanted, Math.max(0, got)));
            }
        }
        return sums;
    }

    /**
     * Tells how much of its fair shares an organisation would have used after a request.
     *
     * @param organisation The organisation.
     * @param tokens The request's tokens.
     * @param capacity What the fleet is promised to produce in a window, in tokens.
     * @param now The present time, in milliseconds.
     * @return What it would have used.
     */
    public ShareUse use(String organisation, double tokens, double capacity, long now) {
        if (now - levelMillis >= LEVEL_MILLIS + LEVEL_MILLIS_A_PEER * peers.size()) {
            compute(capacity, now);
        }
        double got = fleet.getOrDefault(organisation, ShareSums.NONE).begun() + tokens / 2;
        return new ShareUse(got / level, got / observedLevel);
    }

    /**
     * Computes the level.
     *
     * @param capacity What the fleet produces in a window, in tokens.
     * @param now The present time, in milliseconds.
     */
    private void compute(double capacity, long now) {
        Map<String, ShareSums> all = own(now);
        peers.values().removeIf(each -> now - each.heardMillis() > PEER_WORD_MILLIS);
        for (PeerSums peer : peers.values()) {
            peer.sums().forEach((name, sums) -> all.merge(name, sums, ShareSums::plus));
        }
        Map<String, Double> demands = new HashMap<>();
        all.forEach((name, sums) -> demands.put(name, sums.asked()));
        double produced = all.values().stream().mapToDouble(ShareSums::begun).sum();
        level = MaxMin.level(demands, capacity);
        observedLevel = MaxMin.level(demands, Math.max(capacity, produced));
        fleet = all;
        levelMillis = now;
    }
}
