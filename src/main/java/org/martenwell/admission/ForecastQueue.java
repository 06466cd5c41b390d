package org.martenwell.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Requests that wait for an engine of one service. Places are offered first to requests that
 * continue streams, then to the organisation that has used the least of its share, and within it to
 * the request with the earliest latest time at which it can still be in time; requests that can no
 * longer be in time come last.
 *
 * @param <T> The type of the requests.
 */
public final class ForecastQueue<T extends WaitingRequest> {

    /**
     * The most requests that wait. A box with 300 requests per second and objectives of 1.2 s has
     * 306 that wait up to 0.85 of it.
     */
    static final int MAX_WAITING = 512;

    private final WaitForecast forecast = new WaitForecast();

    private final FailedSearches failed = new FailedSearches();

    /**
     * The failed searches of requests that continue streams, by version. They look at the engines
     * of one version, so they tell nothing about the others.
     */
    private final Map<String, FailedSearches> failedAtVersions = new HashMap<>();

    /** The waiting requests in the order in which they are offered a place. */
    private final List<Entry<T>> entries = new ArrayList<>();

    /** Set during a pass, in which the queue may be empty while its only request is tried. */
    private boolean offering;

    /**
     * A waiting request.
     *
     * @param <T> The type of the request.
     */
    private static final class Entry<T> {

        private final T request;

        private final WaitDemand demand;

        private WaitRank rank;

        private boolean removed;

        private Entry(T request, WaitDemand demand, WaitRank rank) {
            this.request = request;
            this.demand = demand;
            this.rank = rank;
        }
    }

    /** Creates an empty queue. */
    public ForecastQueue() {}

    /** {@return the number of waiting requests} */
    public int size() {
        return entries.size();
    }

    /**
     * Records that a request was sent to an engine of the service, whether it waited or not.
     *
     * @param now The current time, in milliseconds.
     */
    public void recordPlace(long now) {
        forecast.recordPlace(now);
    }

    /**
     * Returns whether a search for an engine would most likely fail, because the last pass over the
     * queue found none for a request that needs no more. New requests then wait for the next pass
     * and don't overtake those that wait.
     *
     * @param demand The request.
     * @param rank The rank of its organisation.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the engines need not be looked at.
     */
    public boolean skipsSearch(WaitDemand demand, WaitRank rank, long now) {
        return !entries.isEmpty() && !rank.refused() && failed(rank).cover(rank.need(demand, now));
    }

    /**
     * Records that no engine had capacity for a request.
     *
     * @param demand The request.
     * @param rank The rank of its organisation.
     * @param complete {@code true} if all engines of the service were looked at, or of the version
     *     at which the request continues a stream.
     * @param now The current time, in milliseconds.
     */
    public void searchFailed(WaitDemand demand, WaitRank rank, boolean complete, long now) {
        if (entries.isEmpty() && !offering) {
            // Without a queue there are no passes that forget earlier searches.
            clearFailed();
        }
        failed(rank).add(rank.need(demand, now), complete);
    }

    private FailedSearches failed(WaitRank rank) {
        return rank.continued()
                .map(each -> failedAtVersions.computeIfAbsent(each, key -> new FailedSearches()))
                .orElse(failed);
    }

    private void clearFailed() {
        failed.clear();
        failedAtVersions.clear();
    }

    /**
     * Decides about a request that found no engine with capacity.
     *
     * @param demand The request.
     * @param rank The rank of its organisation.
     * @param waited {@code true} if it has waited.
     * @param now The current time, in milliseconds.
     * @return The refusal, or empty if the request is to be added.
     */
    public Optional<WaitRefusal> decide(
            WaitDemand demand, WaitRank rank, boolean waited, long now) {
        int ahead = ahead(demand, rank, now);
        if (rank.continued().isPresent()) {
            return forecast.decideContinued(demand, ahead, ahead < MAX_WAITING, now);
        }
        if (waited) {
            return forecast.decideAgain(demand, ahead, now);
        }
        return entries.size() >= MAX_WAITING
                ? Optional.of(forecast.refuse(demand, entries.size(), now))
                : forecast.decide(demand, ahead, now);
    }

    /**
     * Adds a request.
     *
     * @param request The request.
     * @param demand What it needs.
     * @param rank The rank of its organisation.
     * @param now The current time, in milliseconds.
     */
    public void add(T request, WaitDemand demand, WaitRank rank, long now) {
        entries.add(ahead(demand, rank, now), new Entry<>(request, demand, rank));
        forecast.recordWaiting(entries.size(), now);
    }

    /**
     * Removes a request, if it waits.
     *
     * @param request The request.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it waited.
     */
    public boolean remove(T request, long now) {
        for (int index = 0; index < entries.size(); index++) {
            if (entries.get(index).request == request) {
                remove(index, now);
                return true;
            }
        }
        return false;
    }

    private void remove(int index, long now) {
        entries.remove(index).removed = true;
        endBacklogIfEmpty(now);
    }

    private void endBacklogIfEmpty(long now) {
        if (entries.isEmpty() && !offering) {
            forecast.recordWaiting(0, now);
            clearFailed();
        }
    }

    /**
     * Offers places to the waiting requests in their order, and refuses those that can't be served
     * in time. The engines are not looked at for a request that needs no less than one before it
     * that found none.
     *
     * @param now The current time, in milliseconds.
     */
    public void offerPlaces(long now) {
        clearFailed();
        updateRanks();
        entries.sort(order(now));
        offering = true;
        try {
            int ahead = 0;
            for (Entry<T> each : List.copyOf(entries)) {
                if (!each.removed && staysAfterOffer(each, ahead, now)) {
                    ahead++;
                }
            }
        } finally {
            offering = false;
            endBacklogIfEmpty(now);
        }
    }

    /**
     * Offers a place to a request.
     *
     * @param entry The request.
     * @param ahead The number of requests that stay in the queue before it.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the request goes on waiting.
     */
    private boolean staysAfterOffer(Entry<T> entry, int ahead, long now) {
        if (entry.rank.refused() || !failed(entry.rank).cover(entry.rank.need(entry.demand, now))) {
            remove(entries.indexOf(entry), now);
            int others = entries.size();
            entry.request.tryAgain();
            return entries.size() > others;
        }
        Optional<WaitRefusal> refusal =
                entry.rank.continued().isPresent()
                        ? forecast.decideContinued(entry.demand, ahead, true, now)
                        : forecast.decideAgain(entry.demand, ahead, now);
        if (refusal.isPresent()) {
            remove(entries.indexOf(entry), now);
            entry.request.refuse(refusal.get());
        }
        return refusal.isEmpty();
    }

    /**
     * Updates the ranks of new requests, once for each organisation, since summing up shares takes
     * time.
     */
    private void updateRanks() {
        Map<String, WaitRank> ranks = new HashMap<>();
        for (Entry<T> each : entries) {
            if (each.rank.continued().isEmpty()) {
                each.rank =
                        ranks.computeIfAbsent(
                                each.request.organisationName(), name -> each.request.rank());
            }
        }
    }

    /** Returns the number of waiting requests that are offered a place before a request. */
    private int ahead(WaitDemand demand, WaitRank rank, long now) {
        Comparator<Entry<T>> order = order(now);
        Entry<T> added = new Entry<>(null, demand, rank);
        int ahead = 0;
        while (ahead < entries.size() && order.compare(entries.get(ahead), added) <= 0) {
            ahead++;
        }
        return ahead;
    }

    private static <T> Comparator<Entry<T>> order(long now) {
        return (one, other) -> {
            boolean otherContinued = other.rank.continued().isPresent();
            if (one.rank.continued().isPresent() != otherContinued) {
                return otherContinued ? 1 : -1;
            }
            int byUse = Double.compare(one.rank.promisedUse(), other.rank.promisedUse());
            if (byUse != 0) {
                return byUse;
            }
            double latest = one.demand.latestMillis();
            double otherLatest = other.demand.latestMillis();
            int byLateness = Boolean.compare(latest < now, otherLatest < now);
            return byLateness != 0 ? byLateness : Double.compare(latest, otherLatest);
        };
    }
}
