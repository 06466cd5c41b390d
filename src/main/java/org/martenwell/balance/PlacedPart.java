package org.martenwell.balance;

/**
 * A part of a prompt that a target keeps from now on, or no longer.
 *
 * @param target The target's life.
 * @param key The part's key.
 * @param tokens Its size in tokens, 0 if the target no longer keeps it.
 */
public record PlacedPart(String target, long key, long tokens) {}
