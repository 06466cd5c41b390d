package org.martenwell.directory;

import java.util.List;

/**
 * Changes of the objects of one kind since a given revision.
 *
 * @param changes The changes in the order in which they occurred.
 * @param revision The revision to watch from next.
 * @param historyLost {@code true} if the store no longer has all changes since the given revision,
 *     so that the objects must be listed again.
 */
public record EntryChanges(List<EntryChange> changes, long revision, boolean historyLost) {

    /** The result of a watch whose starting revision is no longer in the store's history. */
    public static final EntryChanges HISTORY_LOST = new EntryChanges(List.of(), 0, true);
}
