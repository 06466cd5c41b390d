package org.martenwell.standin;

/**
 * What a stand-in target ran.
 *
 * @param requestId The request's id.
 * @param runs How often it was started.
 * @param pieces How many tokens were produced, or 1 for a plain service.
 * @param answer The whole answer's text.
 * @param state What became of it.
 */
public record RunRecord(
        String requestId, int runs, int pieces, String answer, GenerationState state) {}
