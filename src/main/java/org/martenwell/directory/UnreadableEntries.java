package org.martenwell.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Reports the malformed entries of one kind to the listener, each once per revision. */
final class UnreadableEntries {

    /** The length of a name up to which it is reported, in characters. */
    private static final int MAX_NAME_LENGTH = 256;

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
            String name = entry.name();
            String start = name.substring(0, Math.min(name.length(), MAX_NAME_LENGTH));
            listener.entryUnreadable(start, reason);
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
