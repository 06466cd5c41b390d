package org.martenwell.standin;

import java.util.List;

/**
 * A chat in the OpenAI form.
 *
 * @param model The model.
 * @param stream {@code true} for a stream.
 * @param messages The messages.
 */
record ChatRequest(String model, boolean stream, List<CompletionMessage> messages) {}
