package org.martenwell.member;

/**
 * A router that may keep targets.
 *
 * @param name The router's name.
 * @param incarnation The router's incarnation.
 * @param failureDomain The router's failure domain.
 */
public record CoordinatorCandidate(String name, long incarnation, String failureDomain) {}
