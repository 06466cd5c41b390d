package org.martenwell.standin;

/**
 * How much of a stand-in target's capacity was used.
 *
 * @param produced The tokens produced.
 * @param possible The tokens that could have been produced.
 * @param servedMillis The slot time that a plain service used, in milliseconds.
 */
public record TargetUse(long produced, long possible, long servedMillis) {}
