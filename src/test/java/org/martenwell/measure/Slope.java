package org.martenwell.measure;

/** A measurement at one size: the median, minimum and maximum over the repetitions. */
record Slope(String what, String size, double value, double least, double most, String unit) {}
