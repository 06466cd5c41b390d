package org.martenwell.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Reports the malformed entries of one kind to the listener, each once per revision. */
final class UnreadableEntries {

    private final DirectoryListener listener;

    /** The revisions that were reported, by name. */
    private final Map<String, Long> reported = new HashMap<>();

    /**
     * Creates an instance that has reported nothing.
     *
     * @param listener Receives the reports.
     */
    UnreadableEntries(DirectoryListener listener) {
        this.listener = listener;
    }

    /**
     * Reports an entry, unless it was reported at this revision.
     *
     * @param entry The entry.
     * @param reason A description of the error.
     */
    void report(StoredEntry entry, String reason) {
        Long former = reported.put(entry.name(), entry.revision());
        if (former == null || former != entry.revision()) {
            listener.entryUnreadable(entry.name(), reason);
        }
    }

    /**
     * Forgets the entries that are no longer listed.
     *
     * @param listed The names of all entries.
     */
    void retain(Set<String> listed) {
        reported.keySet().retainAll(listed);
    }
}
