package org.martenwell.schedule;

import org.martenwell.configuration.Pool;

/**
 * What a router tells a keeper of one of its queues.
 *
 * @param pool The pool that the requests wait for.
 * @param organisation The organisation that they belong to.
 * @param waiting How many wait, told no greater than the limit of {@link SchedulingParameters}.
 * @param urgency The urgency of the first one, in milliseconds: its wait so far plus its priority's
 *     head start.
 */
public record Demand(Pool pool, String organisation, int waiting, long urgency) {}
