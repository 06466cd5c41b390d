package org.martenwell.schedule;

import java.util.Map;

/**
 * Result of a simulation.
 *
 * @param gap The largest difference between organisations in tokens delivered since the warm-up.
 * @param utilisation The average share of slots in use.
 * @param maxOvercommit The most requests that ran at once at a target beyond its slots.
 * @param delivered The tokens delivered by organisation.
 */
record SimulationResult(
        double gap, double utilisation, int maxOvercommit, Map<String, Double> delivered) {}
