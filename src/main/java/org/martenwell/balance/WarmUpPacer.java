package org.martenwell.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.route.WarmUpLimit;

/**
 * Keeps the requests of all gateways to a target that warms up below its limit, without messages: a
 * few gateways, chosen by rendezvous hash, send to the target at a fixed interval, all others send
 * nothing. Gateways that disagree on the members of the fleet choose mostly the same senders, and
 * the limit of a target leaves room for some more.
 */
public final class WarmUpPacer {

    /** The most gateways that send to a target that warms up. */
    private static final int MAX_SENDERS = 6;

    /** The least rate of a sender, in requests per second; lower limits have fewer senders. */
    private static final double MIN_SENDER_RATE = 3;

    /** The time until the first list of members is complete, in milliseconds. */
    private static final long SETTLE_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The name of this gateway. */
    private final String gateway;

    private Set<String> gateways = Set.of();

    /** The time of the first list of members, in milliseconds, negative before it. */
    private long membersSinceMillis = -1;

    /** The pace of this gateway by the incarnation of the target. */
    private final Map<String, Pace> paces = new HashMap<>();

    /** This gateway's requests to one target. */
    private static final class Pace {

        /** The number of gateways that precede this one in the order of the hash. */
        private int rank;

        /** The time before which nothing is sent, in milliseconds. */
        private long nextMillis = Long.MIN_VALUE;
    }

    /**
     * Creates a pacer that sends nothing until the members are known.
     *
     * @param gateway The name of this gateway.
     */
    public WarmUpPacer(String gateway) {
        this.gateway = gateway;
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param names The names of all gateways, including this one.
     * @param now The current time, in milliseconds.
     */
    public void members(Set<String> names, long now) {
        if (membersSinceMillis < 0) {
            membersSinceMillis = now;
        }
        if (!names.equals(gateways)) {
            gateways = Set.copyOf(names);
            paces.forEach((incarnation, pace) -> pace.rank = rank(incarnation));
        }
    }

    /**
     * Checks whether this gateway may send a request to a target that warms up.
     *
     * @param incarnation The target's incarnation.
     * @param limit The limit of the target's service.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it may.
     */
    public boolean maySend(String incarnation, WarmUpLimit limit, long now) {
        if (membersSinceMillis < 0 || now < membersSinceMillis + SETTLE_MILLIS) {
            return false;
        }
        Pace pace = pace(incarnation);
        return pace.rank < senders(limit) && now >= pace.nextMillis;
    }

    /**
     * Records a request to a target that warms up.
     *
     * @param incarnation The target's incarnation.
     * @param limit The limit of the target's service.
     * @param now The current time, in milliseconds.
     */
    public void sent(String incarnation, WarmUpLimit limit, long now) {
        double intervalMillis = MILLIS_PER_SECOND * senders(limit) / limit.requestsPerSecond();
        pace(incarnation).nextMillis = now + (long) Math.ceil(intervalMillis);
    }

    /**
     * Forgets targets that are no longer listed.
     *
     * @param incarnations The incarnations of all listed targets.
     */
    public void retain(Set<String> incarnations) {
        paces.keySet().retainAll(incarnations);
    }

    private Pace pace(String incarnation) {
        return paces.computeIfAbsent(
                incarnation,
                key -> {
                    Pace created = new Pace();
                    created.rank = rank(key);
                    return created;
                });
    }

    private int rank(String incarnation) {
        long own = RendezvousHash.score(gateway, incarnation);
        return (int)
                gateways.stream()
                        .filter(each -> RendezvousHash.score(each, incarnation) > own)
                        .count();
    }

    private int senders(WarmUpLimit limit) {
        double most = Math.floor(limit.requestsPerSecond() / MIN_SENDER_RATE);
        return (int) Math.max(1, Math.min(Math.min(MAX_SENDERS, gateways.size()), most));
    }
}
