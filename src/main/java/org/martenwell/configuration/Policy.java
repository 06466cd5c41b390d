package org.martenwell.configuration;

/**
 * A program that admits or refuses requests.
 *
 * @param name The policy's name.
 * @param program The program in CEL.
 */
public record Policy(String name, String program) {}
