package org.martenwell.admission;

/** A request that waits for an engine, as the queue sees it. */
public interface WaitingRequest {

    /**
     * Returns the organisation that the request is charged to.
     *
     * @return The organisation's name, empty if callers have no keys.
     */
    String organisationName();

    /**
     * Returns the rank of its organisation.
     *
     * @return The rank as of now.
     */
    WaitRank rank();

    /**
     * Looks for an engine. The request has left the queue when this is called; it is sent, refused,
     * or added to the queue again.
     */
    void tryAgain();

    /**
     * Refuses the request, which has left the queue and was never sent.
     *
     * @param refusal The refusal.
     */
    void refuse(WaitRefusal refusal);
}
