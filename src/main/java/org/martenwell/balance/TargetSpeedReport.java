package org.martenwell.balance;

/**
 * Samples of the speed of a target relative to the mean of its service.
 *
 * @param target The target's incarnation.
 * @param samples The number of samples.
 * @param logSumThousandths The sum of their natural logarithms, in thousandths.
 */
public record TargetSpeedReport(String target, int samples, long logSumThousandths) {}
