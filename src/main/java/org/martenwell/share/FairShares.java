package org.martenwell.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes how far each organisation has used its fair share of the fleet's capacity, from the
 * requests at this gateway and the reports of its peers. All costs are in tokens.
 */
public final class FairShares {

    /** The age at which computed levels are refreshed, without peers, in milliseconds. */
    private static final long BASE_REFRESH_MILLIS = 25;

    /**
     * The addition to that age for each peer, since summing up the reports takes longer, in
     * milliseconds.
     */
    private static final long REFRESH_MILLIS_PER_PEER = 1;

    /** The age at which a peer's report expires, in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 1_500;

    /**
     * The shortest time for which capacity is shared out, in milliseconds. It allows for one large
     * prompt directly after a start.
     */
    private static final long MIN_COUNTED_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final long windowMillis;

    /** The cost of the requests received here, by organisation. */
    private final Map<String, SlidingSum> requested = new HashMap<>();

    /** The cost of the requests sent from here, by organisation. */
    private final Map<String, SlidingSum> sent = new HashMap<>();

    /** The cost of the requests sent from here within promised shares, by organisation. */
    private final Map<String, SlidingSum> withinShare = new HashMap<>();

    /** The last report of each peer, by name. */
    private final Map<String, PeerCounts> peers = new HashMap<>();

    /** The sums of the whole fleet at the last computation, by organisation. */
    private Map<String, ShareSums> fleetSums = Map.of();

    /** The credits within shares of the promised capacity. */
    private final ShareCredits promisedCredits;

    /** The credits within shares of the observed capacity. */
    private final ShareCredits observedCredits;

    /** The limit on organisations that are ahead of one that is held up. */
    private final ShareLead lead;

    /** The largest share of the promised capacity; infinite if it covers all demands. */
    private double level = Double.POSITIVE_INFINITY;

    /**
     * The largest share of the observed capacity, if that exceeds the promised one; else equal to
     * {@link #level}.
     */
    private double observedLevel = Double.POSITIVE_INFINITY;

    /**
     * The time of the last computation, in milliseconds; initially far in the past without risk of
     * overflow.
     */
    private long computedMillis = Long.MIN_VALUE / 2;

    /** The fraction of the promised capacity that is requested within fair shares. */
    private double promisedDemand;

    /** The time of the first request after the last window without requests, in milliseconds. */
    private long countedSinceMillis;

    /** The time of the last request, in milliseconds. */
    private long lastRequestMillis = Long.MIN_VALUE / 2;

    /**
     * The last report of a peer.
     *
     * @param counts The counts of the peer.
     * @param receivedMillis The time of receipt, in milliseconds.
     */
    private record PeerCounts(ShareCounts counts, long receivedMillis) {}

    /**
     * Creates shares without any request.
     *
     * @param windowMillis The length of the sliding window, in milliseconds.
     */
    public FairShares(long windowMillis) {
        this.windowMillis = windowMillis;
        this.promisedCredits = new ShareCredits(windowMillis, ShareSums::withinShare);
        this.observedCredits = new ShareCredits(windowMillis, ShareSums::sent);
        this.lead = new ShareLead(windowMillis);
    }

    /**
     * Records a request that arrived.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param now The current time, in milliseconds.
     */
    public void requested(String organisation, double tokens, long now) {
        if (now - lastRequestMillis > windowMillis) {
            countedSinceMillis = now;
        }
        lastRequestMillis = now;
        requested
                .computeIfAbsent(organisation, name -> new SlidingSum(windowMillis))
                .add(tokens, now);
    }

    /**
     * Records a request that was sent to a target.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param tier The tier in which it was sent.
     * @param now The current time, in milliseconds.
     */
    public void sent(String organisation, double tokens, ShareTier tier, long now) {
        sent.computeIfAbsent(organisation, name -> new SlidingSum(windowMillis)).add(tokens, now);
        spendCredit(organisation, tokens, tier);
        if (tier == ShareTier.PROMISED) {
            withinShare
                    .computeIfAbsent(organisation, name -> new SlidingSum(windowMillis))
                    .add(tokens, now);
        }
    }

    /**
     * Reverts {@link #sent} for a request that no target has served.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param tier The tier in which it was sent.
     * @param sentMillis The time at which it was sent, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    public void revertSent(
            String organisation, double tokens, ShareTier tier, long sentMillis, long now) {
        sent.get(organisation).subtract(tokens, sentMillis, now);
        spendCredit(organisation, -tokens, tier);
        if (tier == ShareTier.PROMISED) {
            withinShare.get(organisation).subtract(tokens, sentMillis, now);
        }
    }

    private void spendCredit(String organisation, double tokens, ShareTier tier) {
        if (tier == ShareTier.PROMISED) {
            promisedCredits.spend(organisation, tokens);
        }
        if (tier != ShareTier.BEYOND) {
            observedCredits.spend(organisation, tokens);
        }
    }

    /**
     * Replaces the counts of a peer by its latest report.
     *
     * @param peer The peer's name.
     * @param counts The peer's counts of the last window.
     * @param now The current time, in milliseconds.
     */
    public void applyPeerReport(String peer, ShareCounts counts, long now) {
        peers.put(peer, new PeerCounts(counts, now));
    }

    /**
     * Returns the counts of this gateway for the last window.
     *
     * @param now The current time, in milliseconds.
     * @return The sums by organisation and the time that they cover.
     */
    public ShareCounts own(long now) {
        Map<String, ShareSums> sums = new HashMap<>();
        for (String each : requested.keySet()) {
            ShareSums own =
                    new ShareSums(
                            sum(requested, each, now),
                            sum(sent, each, now),
                            sum(withinShare, each, now));
            if (own.requested() > 0 || own.sent() > 0) {
                sums.put(each, own);
            }
        }
        boolean idle = now - lastRequestMillis > windowMillis;
        return new ShareCounts(idle ? 0 : Math.min(windowMillis, now - countedSinceMillis), sums);
    }

    private static double sum(Map<String, SlidingSum> sums, String organisation, long now) {
        SlidingSum found = sums.get(organisation);
        return found == null ? 0 : found.sum(now);
    }

    /**
     * Estimates how far an organisation will have used its fair shares if a request is sent. The
     * level is recomputed if it is out of date.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens; half of it counts.
     * @param capacity The promised capacity of the fleet in a window, in tokens.
     * @param now The current time, in milliseconds.
     * @return The use of the shares.
     */
    public ShareUse use(String organisation, double tokens, double capacity, long now) {
        refresh(capacity, now);
        ShareSums sums = fleetSums.getOrDefault(organisation, ShareSums.NONE);
        // Requests sent beyond the promised share used idle capacity; they don't count against it.
        return new ShareUse(
                promisedCredits.limit(
                        organisation, tokens, (sums.withinShare() + tokens / 2) / level, now),
                observedCredits.limit(
                        organisation, tokens, (sums.sent() + tokens / 2) / observedLevel, now),
                lead.exceeds(sums.sent() + tokens / 2));
    }

    /**
     * Returns what an organisation is served at other gateways. The sums of the fleet are
     * recomputed if they are out of date.
     *
     * @param organisation The organisation.
     * @param capacity The promised capacity of the fleet in a window, in tokens.
     * @param now The current time, in milliseconds.
     * @return The cost of its requests that were sent in the last window, in tokens per second.
     */
    public double servedElsewhere(String organisation, double capacity, long now) {
        refresh(capacity, now);
        double all = fleetSums.getOrDefault(organisation, ShareSums.NONE).sent();
        return Math.max(0, all - sum(sent, organisation, now)) * MILLIS_PER_SECOND / windowMillis;
    }

    private void refresh(double capacity, long now) {
        if (now - computedMillis >= BASE_REFRESH_MILLIS + REFRESH_MILLIS_PER_PEER * peers.size()) {
            compute(capacity, now);
        }
    }

    /**
     * Returns the age of the oldest report of a peer that counts.
     *
     * @param now The current time, in milliseconds.
     * @return The age in milliseconds, 0 without reports.
     */
    public long oldestReportMillis(long now) {
        return peers.values().stream()
                .mapToLong(each -> now - each.receivedMillis())
                .max()
                .orElse(0);
    }

    /**
     * Returns how much of the promised capacity was requested within fair shares at the last
     * computation.
     *
     * @return The fraction, from 0 to 1.
     */
    public double promisedDemand() {
        return promisedDemand;
    }

    /**
     * Returns how much of its share of the observed capacity an organisation had used at the last
     * computation.
     *
     * @param organisation The organisation.
     * @return The used fraction, above 1 beyond the share; 0 if the capacity covers all demands.
     */
    public double observedUse(String organisation) {
        return fleetSums.getOrDefault(organisation, ShareSums.NONE).sent() / observedLevel;
    }

    /**
     * Summarises the last computation for the log.
     *
     * @param limit The largest number of organisations to list, those with the highest demand
     *     first.
     * @return The summary.
     */
    public ShareSummary summary(int limit) {
        return ShareSummary.of(level, observedLevel, fleetSums, limit);
    }

    /**
     * Adds up the counts of all gateways and recomputes the levels.
     *
     * @param capacity The promised capacity of the fleet in a window, in tokens.
     * @param now The current time, in milliseconds.
     */
    private void compute(double capacity, long now) {
        peers.values().removeIf(each -> now - each.receivedMillis() > PEER_EXPIRY_MILLIS);
        ShareCounts own = own(now);
        long counted = own.countedMillis();
        Map<String, ShareSums> all = new HashMap<>(own.sums());
        for (PeerCounts each : peers.values()) {
            counted = Math.max(counted, each.counts().countedMillis());
            each.counts().sums().forEach((name, sums) -> all.merge(name, sums, ShareSums::plus));
        }
        computeLevels(all, capacity * countedFraction(counted));
        lead.update(all, level, now);
        promisedCredits.update(all, own.sums(), level, now);
        observedCredits.update(all, own.sums(), observedLevel, now);
        fleetSums = all;
        computedMillis = now;
    }

    /**
     * Returns the fraction of a window's capacity to share out. Directly after a start it is small;
     * otherwise the first organisation to send requests could use up the capacity of a whole
     * window.
     *
     * @param countedMillis The longest time for which any gateway has counted, in milliseconds.
     * @return The fraction, above 0 and at most 1.
     */
    private double countedFraction(long countedMillis) {
        long counted = Math.max(MIN_COUNTED_MILLIS, countedMillis);
        return Math.min(1, (double) counted / windowMillis);
    }

    /**
     * Computes the levels of the promised and of the observed capacity.
     *
     * @param all The sums of the whole fleet, by organisation.
     * @param capacity The promised capacity for the counted time, in tokens.
     */
    private void computeLevels(Map<String, ShareSums> all, double capacity) {
        Map<String, Double> demands = new HashMap<>();
        all.forEach((name, sums) -> demands.put(name, sums.requested()));
        double produced = all.values().stream().mapToDouble(ShareSums::sent).sum();
        level = MaxMinFairness.level(demands, capacity);
        observedLevel = MaxMinFairness.level(demands, Math.max(capacity, produced));
        double withinShare =
                demands.values().stream().mapToDouble(each -> Math.min(each, level)).sum();
        promisedDemand = withinShare / capacity;
    }
}
