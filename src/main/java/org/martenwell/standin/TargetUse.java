package org.martenwell.standin;

/**
 * The used capacity of a target stand-in since its start.
 *
 * @param produced The number of tokens generated.
 * @param possible The number of tokens that a fully used engine would have generated.
 * @param servedMillis The accumulated slot time of a plain service, in milliseconds.
 */
public record TargetUse(long produced, long possible, long servedMillis) {}
