package org.martenwell.route;

/**
 * What the model engines of a service can hold.
 *
 * @param slots How many requests one runs at a time.
 * @param memoryTokens How many tokens one keeps.
 * @param copies Whether one can copy parts of prompts from another.
 */
public record EngineTerms(int slots, long memoryTokens, boolean copies) {}
