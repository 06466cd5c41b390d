package org.martenwell.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * A choice in a completion response of the OpenAI API.
 *
 * @param index The index of the choice, always 0.
 * @param delta The next part of a streamed chat message.
 * @param message The complete chat message, if not streamed.
 * @param text The text of a plain completion.
 * @param finishReason The reason for the end of the text; empty before the last event.
 */
record CompletionChoice(
        int index,
        Optional<CompletionMessage> delta,
        Optional<CompletionMessage> message,
        Optional<String> text,
        @JsonProperty("finish_reason") Optional<String> finishReason) {}
