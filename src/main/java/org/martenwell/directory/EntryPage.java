package org.martenwell.directory;

import java.util.List;

/**
 * A part of the objects of a kind.
 *
 * @param entries The objects.
 * @param more Whether more follow behind the last one's name.
 * @param revision The store's revision at which they stood so.
 */
public record EntryPage(List<StoredEntry> entries, boolean more, long revision) {}
