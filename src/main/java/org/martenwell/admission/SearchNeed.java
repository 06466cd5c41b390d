package org.martenwell.admission;

/**
 * What an engine has to offer to a request.
 *
 * @param fillFraction The fraction of its slots and memory that the request may fill.
 * @param memoryTokens The KV cache that it needs, in tokens.
 * @param backlogMillis The largest backlog that is acceptable, in milliseconds.
 */
record SearchNeed(double fillFraction, long memoryTokens, double backlogMillis) {}
