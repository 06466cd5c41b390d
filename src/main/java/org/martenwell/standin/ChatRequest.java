package org.martenwell.standin;

import java.util.List;

/**
 * A chat completion request of the OpenAI API.
 *
 * @param model The name of the model.
 * @param stream {@code true} to request a stream of events.
 * @param messages The messages of the chat.
 */
record ChatRequest(String model, boolean stream, List<CompletionMessage> messages) {}
