package org.martenwell.balance;

/**
 * A request at a target.
 *
 * @param unreadTokens How many prompt tokens the target has to read for it.
 * @param memoryTokens How many tokens of the target's memory it needs alone.
 * @param sentMillis When it was sent, in milliseconds.
 * @param backlogMillis How long the target was taken to be busy before it, in milliseconds.
 */
public record RunningRequest(
        long unreadTokens, long memoryTokens, long sentMillis, double backlogMillis) {

    /**
     * Returns what the request puts on its target.
     *
     * @return The sums of this request alone.
     */
    LoadSums sums() {
        return new LoadSums(1, unreadTokens, memoryTokens);
    }
}
