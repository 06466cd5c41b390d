package org.martenwell.objects;

/**
 * The wire form of an object in a list.
 *
 * @param name The object's name.
 * @param version The object's version.
 * @param value The value, in Base64 on the wire.
 */
public record ObjectItem(String name, long version, String value) {}
