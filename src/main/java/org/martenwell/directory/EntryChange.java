package org.martenwell.directory;

/**
 * Change of one object in the store.
 *
 * @param entry The object; only its name is meaningful if it was removed.
 * @param removed {@code true} if the object was removed.
 */
public record EntryChange(StoredEntry entry, boolean removed) {}
