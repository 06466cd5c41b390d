package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the store.
 *
 * @param name The name, unique among objects of its kind.
 * @param revision The store's revision at which it last changed.
 * @param value Its value.
 */
public record StoredEntry(String name, long revision, JsonNode value) {}
