package org.martenwell.directory;

import java.util.List;

/**
 * The changes of objects of a kind since a revision.
 *
 * @param changes The changes in order.
 * @param revision The revision from which to go on.
 * @param lost Whether the store does not know all changes since then any more.
 */
public record EntryChanges(List<EntryChange> changes, long revision, boolean lost) {

    /** The history is lost. */
    public static final EntryChanges LOST = new EntryChanges(List.of(), 0, true);
}
