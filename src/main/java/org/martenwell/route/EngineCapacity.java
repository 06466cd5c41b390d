package org.martenwell.route;

/**
 * Capacity of each model engine of a service.
 *
 * @param slots The number of requests that an engine runs concurrently.
 * @param memoryTokens The capacity of an engine's KV cache, in tokens.
 * @param canCopyCache {@code true} if an engine can copy cached prompt parts from another engine.
 */
public record EngineCapacity(int slots, long memoryTokens, boolean canCopyCache) {}
