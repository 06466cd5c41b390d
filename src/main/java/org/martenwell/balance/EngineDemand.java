package org.martenwell.balance;

import org.martenwell.prompt.PromptChain;

/**
 * The resources that a request needs at a model engine.
 *
 * @param organisation The organisation that sent the request.
 * @param chain The shared parts of its prompt.
 * @param promptTokens The size of the whole prompt, in tokens.
 * @param responseTokens The expected size of the response, in tokens.
 * @param objectiveMillis The latency objective for the first event, in milliseconds from the
 *     arrival.
 * @param arrivedMillis The time of arrival, in milliseconds.
 */
public record EngineDemand(
        String organisation,
        PromptChain chain,
        long promptTokens,
        long responseTokens,
        long objectiveMillis,
        long arrivedMillis) {

    /** The cost of a response token, in prompt tokens. */
    private static final int RESPONSE_WEIGHT = 2;

    /** {@return the cost of the request, in tokens} */
    public double cost() {
        return cost(promptTokens, responseTokens);
    }

    /**
     * Returns the cost of a request.
     *
     * @param promptTokens The size of the whole prompt, in tokens.
     * @param responseTokens The expected size of the response, in tokens.
     * @return The cost, in tokens.
     */
    public static double cost(long promptTokens, long responseTokens) {
        return promptTokens + (double) RESPONSE_WEIGHT * responseTokens;
    }

    /** {@return the tokens of the prompt that belong to no shared part} */
    public long ownTokens() {
        return Math.max(0, promptTokens - chain.totalTokens());
    }
}
