package org.martenwell.gateway;

import java.util.Optional;
import org.martenwell.admission.ForecastQueue;
import org.martenwell.admission.WaitDemand;
import org.martenwell.admission.WaitRank;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.balance.EngineDemand;
import org.martenwell.balance.PrefillRate;
import org.martenwell.share.ShareTier;
import org.martenwell.share.ShareUse;

/** Waiting of one model request by forecast: what it needs, and its rank at the last decision. */
final class EngineWait {

    private final ForecastQueue<RequestSender> queue;

    private final WaitDemand demand;

    private WaitRank rank = rank(ShareUse.NONE);

    /** Set once the request has waited. */
    private boolean waited;

    /**
     * Creates the waiting of a request.
     *
     * @param queue The queue of its service.
     * @param demand What it needs.
     */
    EngineWait(ForecastQueue<RequestSender> queue, WaitDemand demand) {
        this.queue = queue;
        this.demand = demand;
    }

    /**
     * Creates the waiting of a request.
     *
     * @param queue The queue of its service.
     * @param demand The resources that the request needs.
     * @param rate The prefill rate of the service's engines. The shared parts of the prompt count
     *     as cached, since looking for them at all engines costs too much for this estimate.
     * @param deadlineMillis The time at which the request times out, in milliseconds.
     * @return The waiting.
     */
    static EngineWait of(
            ForecastQueue<RequestSender> queue,
            EngineDemand demand,
            PrefillRate rate,
            long deadlineMillis) {
        return new EngineWait(
                queue,
                new WaitDemand(
                        demand.arrivedMillis(),
                        demand.objectiveMillis(),
                        deadlineMillis,
                        rate.baseMillis() + rate.millis(demand.ownTokens()),
                        demand.ownTokens() + demand.responseTokens()));
    }

    /**
     * Returns the rank of a request.
     *
     * @param use The use that its organisation has made of its fair shares.
     * @return The rank.
     */
    static WaitRank rank(ShareUse use) {
        ShareTier tier = use.tier();
        return new WaitRank(
                use.promised(),
                tier.fillFraction(),
                tier.waitFraction(),
                use.aheadOfOthers() || tier == ShareTier.BEYOND);
    }

    /**
     * Returns the rank of a request that continues an admitted stream.
     *
     * @param version The version that began the stream.
     * @return The rank.
     */
    static WaitRank rankOfContinued(String version) {
        return WaitRank.ofContinued(
                version, ShareTier.PROMISED.fillFraction(), ShareTier.PROMISED.waitFraction());
    }

    /**
     * Returns whether the engines need not be looked at for the request, and updates its rank.
     *
     * @param current The rank as of now.
     * @param now The current time, in milliseconds.
     * @return {@code true} if none would most likely have capacity.
     */
    boolean skipsSearch(WaitRank current, long now) {
        rank = current;
        return queue.skipsSearch(demand, rank, now);
    }

    /**
     * Records that no engine had capacity for the request.
     *
     * @param complete {@code true} if all engines of the service were looked at.
     * @param now The current time, in milliseconds.
     */
    void searchFailed(boolean complete, long now) {
        queue.searchFailed(demand, rank, complete, now);
    }

    /**
     * Decides whether the request waits.
     *
     * @param now The current time, in milliseconds.
     * @return The refusal, or empty if it waits.
     */
    Optional<WaitRefusal> decide(long now) {
        return queue.decide(demand, rank, waited, now);
    }

    /**
     * Records that the request was sent to an engine.
     *
     * @param now The current time, in milliseconds.
     */
    void recordSent(long now) {
        queue.recordPlace(now);
    }

    /**
     * Adds the request to the queue.
     *
     * @param request The request.
     * @param now The current time, in milliseconds.
     */
    void add(RequestSender request, long now) {
        waited = true;
        queue.add(request, demand, rank, now);
    }
}
