package org.martenwell.peer;

/**
 * A header of an offloaded request or of its response.
 *
 * @param name The name.
 * @param value The value.
 */
public record HeaderField(String name, String value) {}
