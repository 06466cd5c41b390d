package org.martenwell.configuration;

/**
 * A policy that admits, prioritises or refuses requests.
 *
 * @param name The policy's name.
 * @param program The source of the program, in CEL.
 */
public record Policy(String name, String program) {}
