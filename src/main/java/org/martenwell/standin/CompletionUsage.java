package org.martenwell.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The token usage of a completion.
 *
 * @param promptTokens The number of prompt tokens.
 * @param completionTokens The number of generated tokens.
 * @param totalTokens The sum of both.
 */
record CompletionUsage(
        @JsonProperty("prompt_tokens") int promptTokens,
        @JsonProperty("completion_tokens") int completionTokens,
        @JsonProperty("total_tokens") int totalTokens) {}
