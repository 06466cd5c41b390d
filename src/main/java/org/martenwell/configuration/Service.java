package org.martenwell.configuration;

/**
 * A plain service, which callers reach under {@code /services/NAME/}.
 *
 * @param name The name in the path.
 * @param repeatability The rule that decides whether a request may run more than once.
 * @param timeoutMillis The timeout for a target's complete response, in milliseconds.
 * @param costPerSecond The cost of occupying a slot for one second, in units of service.
 */
public record Service(
        String name, Repeatability repeatability, long timeoutMillis, double costPerSecond) {}
