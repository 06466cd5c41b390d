package org.martenwell.schedule;

import org.martenwell.configuration.Pool;

/**
 * Request that waits for a slot.
 *
 * @param number A number that is unique at this router and increases with each arrival.
 * @param pool The pool that the request waits for.
 * @param organisation The organisation that sent the request.
 * @param priority The priority within the organisation; higher values are served earlier.
 * @param prefix The hash of the organisation and the leading block of the prompt, or 0 if there is
 *     none.
 * @param arrivedAt The arrival time in milliseconds.
 * @param bytes The memory that the request occupies while it waits, in bytes.
 */
public record WaitingRequest(
        long number,
        Pool pool,
        String organisation,
        int priority,
        long prefix,
        long arrivedAt,
        long bytes) {

    /**
     * The head start that each step of priority gives, in milliseconds. A request is still served
     * before those of the next higher priority that arrive later by more than this, so no request
     * starves.
     */
    public static final long HEAD_START_MILLIS = 2_000;

    /**
     * Returns the effective arrival time: the arrival time less the head start of the priority.
     *
     * @return The time in milliseconds; the earliest is the most urgent.
     */
    public long effectiveArrival() {
        return arrivedAt - priority * HEAD_START_MILLIS;
    }
}
