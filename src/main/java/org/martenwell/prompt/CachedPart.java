package org.martenwell.prompt;

/**
 * A prompt part that a target holds in its prompt cache.
 *
 * @param model The model whose requests can use the cached part.
 * @param part The part.
 */
public record CachedPart(String model, PromptPart part) {}
