package org.martenwell.balance;

import org.martenwell.prompt.PromptChain;

/**
 * What a request to a model engine needs.
 *
 * @param organisation The organisation.
 * @param chain The shared parts of its prompt.
 * @param promptTokens The whole prompt, in tokens.
 * @param answerTokens How many tokens its answer probably has.
 * @param objectiveMillis Within which time the first event is in time, in milliseconds.
 * @param arrivedMillis When it arrived, in milliseconds.
 */
public record PromptNeed(
        String organisation,
        PromptChain chain,
        long promptTokens,
        long answerTokens,
        long objectiveMillis,
        long arrivedMillis) {

    /** How many tokens of capacity a token of an answer counts for. */
    private static final int ANSWER_WEIGHT = 2;

    /**
     * Returns what the request costs.
     *
     * @return The cost in tokens of capacity.
     */
    public double cost() {
        return promptTokens + (double) ANSWER_WEIGHT * answerTokens;
    }

    /**
     * Returns the part of the prompt that no other request shares.
     *
     * @return The tokens.
     */
    public long ownTokens() {
        return Math.max(0, promptTokens - chain.totalTokens());
    }
}
