package org.martenwell.directory;

/**
 * A change of an object.
 *
 * @param entry The object.
 * @param gone Whether it is gone.
 */
public record EntryChange(StoredEntry entry, boolean gone) {}
