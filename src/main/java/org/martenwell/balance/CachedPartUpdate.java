package org.martenwell.balance;

/**
 * A change of a target's prompt cache, as reported to peers.
 *
 * @param target The target's incarnation.
 * @param key The key of the prompt part.
 * @param tokens The size in tokens; 0 if the target has evicted the part.
 */
public record CachedPartUpdate(String target, long key, long tokens) {}
