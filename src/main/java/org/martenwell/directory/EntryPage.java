package org.martenwell.directory;

import java.util.List;

/**
 * One page of a listing of the objects of a kind.
 *
 * @param entries The objects, in order of their names.
 * @param hasMore {@code true} if objects follow after the last name on this page.
 * @param revision The store's revision at which the page was read.
 */
public record EntryPage(List<StoredEntry> entries, boolean hasMore, long revision) {}
