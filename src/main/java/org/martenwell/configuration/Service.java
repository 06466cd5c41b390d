package org.martenwell.configuration;

/**
 * A plain service behind {@code /services/NAME/}.
 *
 * @param name The name in the path.
 * @param repeatability Which of its requests may run twice.
 * @param timeoutMillis The time a target may take for a whole answer, in milliseconds.
 * @param costPerSecond The cost of a second of a slot, in units of service.
 */
public record Service(
        String name, Repeatability repeatability, long timeoutMillis, double costPerSecond) {}
