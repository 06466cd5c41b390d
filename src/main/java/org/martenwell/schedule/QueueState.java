package org.martenwell.schedule;

/**
 * State of a queue as reported to a coordinator.
 *
 * @param waiting The number of waiting requests, capped by the reporting limit.
 * @param effectiveArrival The effective arrival time of the first request, in milliseconds.
 */
record QueueState(int waiting, long effectiveArrival) {

    /** The state of a queue without requests. */
    static final QueueState EMPTY = new QueueState(0, 0);

    /**
     * Checks whether the queue changed enough to be reported again.
     *
     * @param current The current state.
     * @param headShiftToleranceMillis The largest change of the first request's effective arrival
     *     that is not reported, in milliseconds.
     * @return {@code true} if a report is needed.
     */
    boolean needsReport(QueueState current, long headShiftToleranceMillis) {
        boolean headShifted =
                Math.abs(current.effectiveArrival - effectiveArrival) > headShiftToleranceMillis;
        return waiting != current.waiting || (current.waiting > 0 && headShifted);
    }

    /**
     * Converts this state to an entry of a {@link SlotReport}.
     *
     * @param key The queue.
     * @param now The current time in milliseconds.
     * @return The reported queue.
     */
    Demand toDemand(QueueKey key, long now) {
        long effectiveWaitMillis = waiting == 0 ? 0 : now - effectiveArrival;
        return new Demand(key.pool(), key.organisation(), waiting, effectiveWaitMillis);
    }
}
