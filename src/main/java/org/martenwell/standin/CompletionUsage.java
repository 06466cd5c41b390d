package org.martenwell.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The tokens that an answer used.
 *
 * @param promptTokens The prompt's tokens.
 * @param completionTokens The answer's tokens.
 * @param totalTokens Both.
 */
record CompletionUsage(
        @JsonProperty("prompt_tokens") int promptTokens,
        @JsonProperty("completion_tokens") int completionTokens,
        @JsonProperty("total_tokens") int totalTokens) {}
