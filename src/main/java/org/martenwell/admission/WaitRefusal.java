package org.martenwell.admission;

/**
 * Refusal of a request for which no place becomes free in time.
 *
 * @param forecastMillis The forecast time until a place is free for the request, in milliseconds,
 *     -1 if it is unknown.
 * @param retrySeconds The time after which the caller may retry, in seconds, without jitter.
 */
public record WaitRefusal(long forecastMillis, double retrySeconds) {}
