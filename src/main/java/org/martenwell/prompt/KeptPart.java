package org.martenwell.prompt;

/**
 * A part of prompts that a target keeps.
 *
 * @param model The model that it was read for.
 * @param part The part.
 */
public record KeptPart(String model, PromptPart part) {}
