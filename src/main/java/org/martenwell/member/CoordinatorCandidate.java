package org.martenwell.member;

/**
 * Router that may coordinate targets.
 *
 * @param name The router's name.
 * @param incarnation The router's incarnation.
 * @param failureDomain The router's failure domain.
 */
public record CoordinatorCandidate(String name, long incarnation, String failureDomain) {}
