package org.martenwell.schedule;

/**
 * Identifies one incarnation of a coordinator.
 *
 * @param name The name of the coordinating router.
 * @param incarnation The incarnation of the coordinating router.
 */
public record CoordinatorReference(String name, long incarnation) {}
