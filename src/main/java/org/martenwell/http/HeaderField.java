package org.martenwell.http;

/**
 * One header field.
 *
 * @param name The name as sent.
 * @param value The value.
 */
public record HeaderField(String name, String value) {}
