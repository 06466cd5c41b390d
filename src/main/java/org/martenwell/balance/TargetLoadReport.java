package org.martenwell.balance;

/**
 * The load of a gateway's requests on a target, as reported to peers.
 *
 * @param target The target's incarnation.
 * @param sums The load.
 */
public record TargetLoadReport(String target, LoadSums sums) {}
