package org.martenwell.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * One choice of an OpenAI answer.
 *
 * @param index Always 0.
 * @param delta The next piece of a chat.
 * @param message The whole message of a chat.
 * @param text The text of a plain completion.
 * @param finishReason Why it ended.
 */
record CompletionChoice(
        int index,
        Optional<CompletionMessage> delta,
        Optional<CompletionMessage> message,
        Optional<String> text,
        @JsonProperty("finish_reason") Optional<String> finishReason) {}
