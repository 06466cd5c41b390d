package org.martenwell.configuration;

/**
 * A model that callers may request.
 *
 * @param name The name that callers use.
 * @param costPerToken The cost of one token in units of service; one unit is the slot time of one
 *     token of the reference model.
 */
public record Model(String name, double costPerToken) {}
