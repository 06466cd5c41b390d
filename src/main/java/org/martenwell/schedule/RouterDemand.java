package org.martenwell.schedule;

/**
 * What one router has waiting in one queue.
 *
 * @param waiting How many requests wait, at most the limit that routers tell.
 * @param urgentSince Since when the first one is urgent, in the keeper's time.
 */
record RouterDemand(int waiting, long urgentSince) {}
