package org.martenwell.schedule;

/**
 * Parameters of the scheduler; {@code docs/design/scheduling.md} explains the defaults.
 *
 * @param horizonMillis The period for which slots in use count as expected service when
 *     organisations are ranked.
 * @param slotRate The service that one slot in use delivers, in units per second.
 * @param idleGraceMillis The time without waiting requests after which an organisation counts as
 *     idle.
 * @param initialReportTimeoutMillis The maximum time that a new coordinator waits for the reports
 *     of all routers.
 * @param overcommitSlots The number of slots beyond a target's capacity that a coordinator grants
 *     while requests wait.
 * @param maxReportedWaiting The maximum number of waiting requests that a router reports for one
 *     queue.
 * @param headShiftToleranceMillis The change of the first request's effective arrival from which a
 *     router reports a queue again.
 * @param completeReportIntervalMillis The interval between complete reports of a router to a
 *     coordinator.
 * @param resendMillis The time after which a coordinator resends an unacknowledged grant.
 */
public record SchedulingParameters(
        long horizonMillis,
        double slotRate,
        long idleGraceMillis,
        long initialReportTimeoutMillis,
        int overcommitSlots,
        int maxReportedWaiting,
        long headShiftToleranceMillis,
        long completeReportIntervalMillis,
        long resendMillis) {

    /** The parameters used in production. */
    public static final SchedulingParameters DEFAULTS =
            new SchedulingParameters(2_000, 36, 2_000, 2_000, 1, 8, 250, 5_000, 1_000);

    /**
     * Returns a copy with a different horizon.
     *
     * @param millis The horizon in milliseconds.
     * @return The copy.
     */
    public SchedulingParameters withHorizonMillis(long millis) {
        return new SchedulingParameters(
                millis,
                slotRate,
                idleGraceMillis,
                initialReportTimeoutMillis,
                overcommitSlots,
                maxReportedWaiting,
                headShiftToleranceMillis,
                completeReportIntervalMillis,
                resendMillis);
    }
}
