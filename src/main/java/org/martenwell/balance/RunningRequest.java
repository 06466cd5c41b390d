package org.martenwell.balance;

/**
 * A request that was sent to a target and has not ended.
 *
 * @param prefillTokens The prompt tokens that need prefill.
 * @param memoryTokens The KV cache that the request occupies apart from shared parts, in tokens.
 * @param sentMillis The time at which it was sent, in milliseconds.
 * @param backlogMillis The estimated time for which the target was busy before the request, in
 *     milliseconds.
 */
public record RunningRequest(
        long prefillTokens, long memoryTokens, long sentMillis, double backlogMillis) {

    /** {@return the load of this request alone} */
    LoadSums sums() {
        return new LoadSums(1, prefillTokens, memoryTokens);
    }
}
