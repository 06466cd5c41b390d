package org.martenwell.balance;

/**
 * What a gateway put on a target.
 *
 * @param target The target's life.
 * @param sums The sums.
 */
public record TargetLoadReport(String target, LoadSums sums) {}
