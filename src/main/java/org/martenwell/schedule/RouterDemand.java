package org.martenwell.schedule;

/**
 * State of one queue at one router, as known to a coordinator.
 *
 * @param waiting The number of waiting requests, capped by the reporting limit.
 * @param effectiveArrival The effective arrival time of the first request, in the coordinator's
 *     clock.
 */
record RouterDemand(int waiting, long effectiveArrival) {}
