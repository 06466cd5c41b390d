package org.martenwell.admission;

import java.util.Optional;

/**
 * The part of the order in the queue that depends on the caller's organisation, or on the stream
 * that the request continues.
 *
 * @param promisedUse The used fraction of the organisation's share of the promised capacity.
 * @param fillFraction The fraction of an engine's slots and memory that its requests may fill.
 * @param backlogFraction The backlog of an engine that is acceptable in any case, as a fraction of
 *     the objective.
 * @param refused {@code true} if the organisation may not wait, so its requests are to be refused.
 * @param continued The version at which the request continues a stream that the fleet has admitted;
 *     empty for a new request.
 */
public record WaitRank(
        double promisedUse,
        double fillFraction,
        double backlogFraction,
        boolean refused,
        Optional<String> continued) {

    /**
     * Creates the rank of a new request.
     *
     * @param promisedUse The used fraction of the organisation's share of the promised capacity.
     * @param fillFraction The fraction of an engine's slots and memory that its requests may fill.
     * @param backlogFraction The backlog of an engine that is acceptable in any case, as a fraction
     *     of the objective.
     * @param refused {@code true} if the organisation may not wait.
     */
    public WaitRank(
            double promisedUse, double fillFraction, double backlogFraction, boolean refused) {
        this(promisedUse, fillFraction, backlogFraction, refused, Optional.empty());
    }

    /**
     * Returns the rank of a request that continues an admitted stream, before all new requests.
     *
     * @param version The only version that can serve it.
     * @param fillFraction The fraction of an engine's slots and memory that it may fill.
     * @param backlogFraction The backlog of an engine that is acceptable in any case, as a fraction
     *     of the objective.
     * @return The rank, whatever its organisation has used of its share.
     */
    public static WaitRank ofContinued(
            String version, double fillFraction, double backlogFraction) {
        return new WaitRank(0, fillFraction, backlogFraction, false, Optional.of(version));
    }

    /**
     * Returns what an engine has to offer to a request of the organisation.
     *
     * @param demand The request.
     * @param now The current time, in milliseconds.
     * @return The need.
     */
    SearchNeed need(WaitDemand demand, long now) {
        double backlogMillis =
                Math.max(backlogFraction * demand.objectiveMillis(), demand.latestMillis() - now);
        return new SearchNeed(fillFraction, demand.memoryTokens(), backlogMillis);
    }
}
