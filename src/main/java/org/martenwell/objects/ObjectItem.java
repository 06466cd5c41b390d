package org.martenwell.objects;

/**
 * JSON form of an object in the response to a watch.
 *
 * @param name The object's name.
 * @param version The object's version.
 * @param value The value in Base64.
 */
public record ObjectItem(String name, long version, String value) {}
