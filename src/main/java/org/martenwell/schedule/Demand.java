package org.martenwell.schedule;

import org.martenwell.configuration.Pool;

/**
 * State of one queue of a router, as reported to coordinators.
 *
 * @param pool The pool that the requests wait for.
 * @param organisation The organisation that the requests belong to.
 * @param waiting The number of waiting requests, capped by {@link
 *     SchedulingParameters#maxReportedWaiting()}.
 * @param effectiveWaitMillis The effective wait of the first request in milliseconds: the time
 *     waited so far plus the head start of its priority; 0 if no request waits.
 */
public record Demand(Pool pool, String organisation, int waiting, long effectiveWaitMillis) {}
