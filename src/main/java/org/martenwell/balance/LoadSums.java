package org.martenwell.balance;

/**
 * What requests put on a target.
 *
 * @param requests How many requests it has.
 * @param unreadTokens How many prompt tokens it has to read.
 * @param memoryTokens How many tokens of memory the requests need.
 */
public record LoadSums(int requests, long unreadTokens, long memoryTokens) {

    /** Nothing. */
    public static final LoadSums NONE = new LoadSums(0, 0, 0);

    /**
     * Adds sums.
     *
     * @param other The other sums.
     * @return The sums of both.
     */
    public LoadSums plus(LoadSums other) {
        return new LoadSums(
                requests + other.requests,
                unreadTokens + other.unreadTokens,
                memoryTokens + other.memoryTokens);
    }

    /**
     * Takes sums away.
     *
     * @param other The other sums.
     * @return What is left.
     */
    public LoadSums minus(LoadSums other) {
        return new LoadSums(
                requests - other.requests,
                unreadTokens - other.unreadTokens,
                memoryTokens - other.memoryTokens);
    }
}
