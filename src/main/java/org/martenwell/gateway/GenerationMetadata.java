package org.martenwell.gateway;

import java.util.List;
import org.martenwell.balance.EngineDemand;
import org.martenwell.prompt.PromptPart;

/**
 * Properties of a model request, as stated by its caller.
 *
 * @param model The name of the model.
 * @param promptTokens The size of the prompt, in tokens.
 * @param responseTokens The expected size of the response, in tokens.
 * @param parts The parts of the prompt, in order.
 */
public record GenerationMetadata(
        String model, long promptTokens, long responseTokens, List<PromptPart> parts) {

    /** {@return the cost of the request, in tokens} */
    double cost() {
        return EngineDemand.cost(promptTokens, responseTokens);
    }
}
