package org.martenwell.schedule;

/**
 * The numbers that tune scheduling; {@code docs/design/scheduling.md} tells how they were chosen.
 *
 * @param horizonMillis How far ahead slots in use count as service when organisations are ranked.
 * @param slotRate The service that one slot in use delivers a second, in units.
 * @param idleGraceMillis How long an organisation may have nothing waiting without losing its rank.
 * @param settleMillis How long a new keeper waits for routers that have not told their slots.
 * @param grantsAhead How many slots beyond a target's own a keeper grants while work waits.
 * @param demandLimit The largest number of waiting requests that a router tells of one queue.
 * @param headChangeMillis How far the head of a queue moves before a router tells of it again.
 * @param refreshMillis How often a router repeats everything to a keeper.
 * @param resendMillis How long a keeper waits before it repeats a grant that was not seen.
 */
public record SchedulingParameters(
        long horizonMillis,
        double slotRate,
        long idleGraceMillis,
        long settleMillis,
        int grantsAhead,
        int demandLimit,
        long headChangeMillis,
        long refreshMillis,
        long resendMillis) {

    /** The numbers in use unless a test says otherwise. */
    public static final SchedulingParameters DEFAULTS =
            new SchedulingParameters(2_000, 36, 2_000, 2_000, 1, 8, 250, 5_000, 1_000);

    /**
     * Returns a copy with another horizon.
     *
     * @param millis The horizon in milliseconds.
     * @return The copy.
     */
    public SchedulingParameters withHorizonMillis(long millis) {
        return new SchedulingParameters(
                millis,
                slotRate,
                idleGraceMillis,
                settleMillis,
                grantsAhead,
                demandLimit,
                headChangeMillis,
                refreshMillis,
                resendMillis);
    }
}
