package org.martenwell.admission;

/**
 * The part of the order in the queue that depends on the caller's organisation.
 *
 * @param promisedUse The used fraction of the organisation's share of the promised capacity.
 * @param fillFraction The fraction of an engine's slots and memory that its requests may fill.
 * @param backlogFraction The backlog of an engine that is acceptable in any case, as a fraction of
 *     the objective.
 * @param refused {@code true} if the organisation may not wait, so its requests are to be refused.
 */
public record WaitRank(
        double promisedUse, double fillFraction, double backlogFraction, boolean refused) {

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
