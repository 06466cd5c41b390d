package org.martenwell.schedule;

import org.martenwell.configuration.Pool;

/**
 * A request that waits for a slot.
 *
 * @param number A number that is unique at this router and grows with arrival.
 * @param pool The pool that it waits for.
 * @param organisation The organisation that it belongs to.
 * @param priority Its priority within the organisation.
 * @param prefix The hash of the organisation and the leading block of the prompt.
 * @param arrivedAt When it arrived.
 * @param bytes The memory that it holds while it waits, in bytes.
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
     * The head start that one step of priority gives, in milliseconds. A request of low priority
     * overtakes later ones of a higher priority once it has waited so much longer.
     */
    public static final long HEAD_START_MILLIS = 2_000;

    /**
     * Returns when a request of the lowest priority would have had to arrive to be as urgent.
     *
     * @return The time; an earlier one is more urgent.
     */
    public long urgentSince() {
        return arrivedAt - priority * HEAD_START_MILLIS;
    }
}
