package org.martenwell.balance;

/**
 * The load of requests on a target.
 *
 * @param requests The number of requests.
 * @param prefillTokens The prompt tokens whose prefill has not finished.
 * @param memoryTokens The KV cache that the requests occupy, in tokens.
 */
public record LoadSums(int requests, long prefillTokens, long memoryTokens) {

    /** The load of no requests. */
    public static final LoadSums NONE = new LoadSums(0, 0, 0);

    /**
     * Adds a load.
     *
     * @param other The load to add.
     * @return The sum of both.
     */
    public LoadSums plus(LoadSums other) {
        return new LoadSums(
                requests + other.requests,
                prefillTokens + other.prefillTokens,
                memoryTokens + other.memoryTokens);
    }

    /**
     * Subtracts a load.
     *
     * @param other The load to subtract.
     * @return The difference.
     */
    public LoadSums minus(LoadSums other) {
        return new LoadSums(
                requests - other.requests,
                prefillTokens - other.prefillTokens,
                memoryTokens - other.memoryTokens);
    }
}
