package org.martenwell.admission;

import java.util.Optional;

/**
 * Decides whether a request that finds all engines of a service full waits or is refused.
 *
 * <p>The load that this answers: for some seconds organisations send 9 to 14 times their usual
 * load, and requests hold a place for about a second. A fixed wait of a fifth of the objective ends
 * before a place becomes free, although the request could be served in time, and a refused request
 * is mostly late, since its retry counts from the first attempt. A request that can't be served in
 * time is refused on arrival instead, since it would only lengthen the queue.
 *
 * <p>The forecast assumes that places become free at the rate of the last second. Before that is
 * known, a request waits a fifth of its objective.
 */
public final class WaitForecast {

    /** The factor on the forecast of a new request, for the error of the forecast. */
    private static final double ALLOWANCE = 1.25;

    /** The shortest delay of a retry, in seconds. */
    private static final double MIN_RETRY_SECONDS = 0.1;

    /** The longest delay of a retry, in seconds; a forecast beyond that would be a guess. */
    private static final double MAX_RETRY_SECONDS = 2;

    /** The delay of a retry if the rate of free places is not known, in seconds. */
    private static final double UNKNOWN_RETRY_SECONDS = 0.4;

    /** The fraction of the time to the deadline after which a retry is too late to be served. */
    private static final double MAX_DEADLINE_FRACTION = 0.5;

    /**
     * The fraction of the time in which a request can still be in time up to which its retry is
     * delayed. A request that is refused on arrival has time for a retry that is served in time,
     * which is worth three times as much as one that is late, though more retries are refused.
     */
    private static final double MAX_USEFUL_FRACTION = 0.4;

    /** The least time in which a request can still be in time for that, in milliseconds. */
    private static final double MIN_USEFUL_MILLIS = 200;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PlaceRate places = new PlaceRate();

    private final ReturningRequests returning = new ReturningRequests();

    /** Creates the forecast of a service without requests. */
    public WaitForecast() {}

    /**
     * Records that a request was sent to an engine of the service.
     *
     * @param now The current time, in milliseconds.
     */
    public void recordPlace(long now) {
        places.recordPlace(now);
    }

    /**
     * Records whether requests wait.
     *
     * @param waiting The number of waiting requests.
     * @param now The current time, in milliseconds.
     */
    void recordWaiting(int waiting, long now) {
        if (waiting > 0) {
            places.markBacklogged(now);
        } else {
            places.markEmpty();
        }
    }

    /**
     * Decides about a request that arrived and found all engines full.
     *
     * @param demand The request.
     * @param ahead The number of waiting requests that are offered a place before it.
     * @param now The current time, in milliseconds.
     * @return The refusal, or empty if the request waits.
     */
    Optional<WaitRefusal> decide(WaitDemand demand, int ahead, long now) {
        double rate = places.perMilli(now);
        if (rate == 0 || ahead == 0) {
            // The first one in the queue is served by whatever place becomes free.
            return decideAgain(demand, ahead, now);
        }
        return now + ALLOWANCE * (ahead + 1) / rate < demand.waitEndMillis()
                ? Optional.empty()
                : Optional.of(refuse(demand, ahead, now));
    }

    /**
     * Decides again about a request that waits. It is not refused by the forecast any more, since
     * its caller has spent the time, and its retry would be later than any place that may become
     * free: that lowers the value in {@code WaitSimulation} by 0.5 to 2 in 100.
     *
     * @param demand The request.
     * @param ahead The number of waiting requests that are offered a place before it.
     * @param now The current time, in milliseconds.
     * @return The refusal, or empty if the request goes on waiting.
     */
    Optional<WaitRefusal> decideAgain(WaitDemand demand, int ahead, long now) {
        boolean known = places.perMilli(now) > 0;
        return now < (known ? demand.waitEndMillis() : demand.minWaitEndMillis())
                ? Optional.empty()
                : Optional.of(refuse(demand, ahead, now));
    }

    /**
     * Decides about a request that continues a stream. Only engines of its version can serve it, to
     * which the rate of free places of the service doesn't apply, and it is offered each of these
     * first; so it waits as long as it may.
     *
     * @param demand The request.
     * @param ahead The number of waiting requests that are offered a place before it.
     * @param room {@code true} if the queue has room for it.
     * @param now The current time, in milliseconds.
     * @return The refusal, or empty if the request waits.
     */
    Optional<WaitRefusal> decideContinued(WaitDemand demand, int ahead, boolean room, long now) {
        return room && now < demand.waitEndMillis()
                ? Optional.empty()
                : Optional.of(refuse(demand, ahead, now));
    }

    /**
     * Refuses a request and forecasts when its caller may retry.
     *
     * @param demand The request.
     * @param ahead The number of waiting requests that are offered a place before it.
     * @param now The current time, in milliseconds.
     * @return The refusal.
     */
    WaitRefusal refuse(WaitDemand demand, int ahead, long now) {
        double rate = places.perMilli(now);
        double millis = (ahead + returning.count(now) + 1) / rate;
        double seconds = rate == 0 ? UNKNOWN_RETRY_SECONDS : millis / MILLIS_PER_SECOND;
        double useful = usefulRetryMillis(demand, now) / MILLIS_PER_SECOND;
        double bounded =
                Math.max(MIN_RETRY_SECONDS, Math.min(Math.min(seconds, useful), MAX_RETRY_SECONDS));
        returning.add(now + Math.round(bounded * MILLIS_PER_SECOND));
        return new WaitRefusal(rate == 0 ? -1 : Math.round(millis), bounded);
    }

    /** Returns the largest delay after which the retry of a request is worth serving. */
    private static double usefulRetryMillis(WaitDemand demand, long now) {
        double beforeDeadline = MAX_DEADLINE_FRACTION * (demand.deadlineMillis() - now);
        double inTime = demand.latestMillis() - now;
        return inTime < MIN_USEFUL_MILLIS
                ? beforeDeadline
                : Math.min(beforeDeadline, MAX_USEFUL_FRACTION * inTime);
    }
}
