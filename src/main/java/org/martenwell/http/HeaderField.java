package org.martenwell.http;

/**
 * An HTTP header field.
 *
 * @param name The name, in the case in which it was sent.
 * @param value The value.
 */
public record HeaderField(String name, String value) {}
