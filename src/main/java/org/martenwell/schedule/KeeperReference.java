package org.martenwell.schedule;

/**
 * Names one life of a keeper.
 *
 * @param name The keeper's name.
 * @param incarnation The keeper's incarnation.
 */
public record KeeperReference(String name, long incarnation) {}
