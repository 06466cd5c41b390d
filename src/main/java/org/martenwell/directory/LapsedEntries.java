package org.martenwell.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Entries that were missing when a store was back from an outage. Their owners could not renew them
 * meanwhile, so they are taken to be there for a while, until their owners had the time to enter
 * themselves again.
 */
final class LapsedEntries {

    /** No lapsed entries. */
    static final LapsedEntries NONE = new LapsedEntries(Map.of(), Long.MIN_VALUE);

    /** The lapsed entries by name. */
    private final Map<String, StoredEntry> entries;

    /** Until when they count, in milliseconds. */
    private final long untilMillis;

    /**
     * Creates lapsed entries.
     *
     * @param entries The entries by name.
     * @param untilMillis Until when they count, in milliseconds.
     */
    private LapsedEntries(Map<String, StoredEntry> entries, long untilMillis) {
        this.entries = entries;
        this.untilMillis = untilMillis;
    }

    /**
     * Returns the entries that are missing after an outage.
     *
     * @param before The entries before it, by name.
     * @param after The entries after it, by name.
     * @param untilMillis Until when the missing ones count, in milliseconds.
     * @return The missing entries.
     */
    static LapsedEntries of(
            Map<String, StoredEntry> before, Map<String, StoredEntry> after, long untilMillis) {
        Map<String, StoredEntry> missing = new HashMap<>(before);
        missing.keySet().removeAll(after.keySet());
        return missing.isEmpty() ? NONE : new LapsedEntries(missing, untilMillis);
    }

    /**
     * Returns whether there are none.
     *
     * @return {@code true} if there are none.
     */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns the names of the entries.
     *
     * @return The names.
     */
    Set<String> names() {
        return Set.copyOf(entries.keySet());
    }

    /**
     * Adds these entries to those that a store holds, as far as they still count.
     *
     * @param present The entries that the store holds, by name.
     * @param now The present time, in milliseconds.
     * @return All entries by name.
     */
    Map<String, StoredEntry> under(Map<String, StoredEntry> present, long now) {
        Map<String, StoredEntry> all = new HashMap<>();
        if (now < untilMillis) {
            all.putAll(entries);
        }
        all.putAll(present);
        return Map.copyOf(all);
    }
}
