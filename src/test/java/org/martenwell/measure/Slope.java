package org.martenwell.measure;

/**
 * One measured point: what, at which size, how much in which unit, and the spread over repetitions.
 */
record Slope(String what, String size, double value, double least, double most, String unit) {}
