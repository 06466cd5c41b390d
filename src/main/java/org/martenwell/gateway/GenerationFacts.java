package org.martenwell.gateway;

import java.util.List;
import org.martenwell.prompt.PromptPart;

/**
 * What a caller states about a request to a model.
 *
 * @param model The model.
 * @param promptTokens The size of the prompt in tokens.
 * @param answerTokens How many tokens the answer probably has.
 * @param parts The parts of the prompt in order.
 */
public record GenerationFacts(
        String model, long promptTokens, long answerTokens, List<PromptPart> parts) {}
