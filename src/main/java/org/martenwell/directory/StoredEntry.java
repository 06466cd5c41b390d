package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Object in the store.
 *
 * @param name The name, unique among objects of the same kind.
 * @param revision The store's revision at which the object was last written.
 * @param value The value.
 */
public record StoredEntry(String name, long revision, JsonNode value) {}
