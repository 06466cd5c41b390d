package org.martenwell.gateway;

/**
 * The circumstances in which a target was considered silent, for the log.
 *
 * @param millis The time since the target last sent, without delays of the event loop, in
 *     milliseconds.
 * @param lateMillis The delay of the event loop at the decision, in milliseconds.
 */
record Silence(long millis, long lateMillis) {}
