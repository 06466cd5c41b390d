package org.martenwell.standin;

/**
 * A request as a target stand-in ran it.
 *
 * @param requestId The request id.
 * @param runs The number of times that it was submitted.
 * @param pieces The number of tokens generated, or 1 for a plain service.
 * @param answer The text of the response so far.
 * @param state The state of the request.
 */
public record RunRecord(
        String requestId, int runs, int pieces, String answer, GenerationState state) {}
