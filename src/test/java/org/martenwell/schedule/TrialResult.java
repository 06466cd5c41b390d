package org.martenwell.schedule;

import java.util.Map;

/**
 * What a trial measured: the largest gap in tokens delivered since the warm-up, the share of slots
 * in use, the most requests that ran at once at a target beyond its slots, and tokens by
 * organisation.
 */
record TrialResult(
        double gap, double utilisation, int overCommitted, Map<String, Double> delivered) {}
