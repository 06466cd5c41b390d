package org.martenwell.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Entries that were missing when a store could be reached again. If the store was away, their
 * owners could not renew them, and they are taken to be there for a while, until their owners had
 * the time to enter themselves again. If only this gateway was cut off, their owners have left.
 *
 * <p>An outage of the store lapses the entries of all owners alike, while few owners leave at a
 * time. So missing entries are kept only in groups that lost at least as many entries as they have.
 */
final class RetainedEntries {

    /** No lapsed entries. */
    static final RetainedEntries NONE = new RetainedEntries(Map.of(), Long.MIN_VALUE);

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
    private RetainedEntries(Map<String, StoredEntry> entries, long untilMillis) {
        this.entries = entries;
        this.untilMillis = untilMillis;
    }

    /**
     * Returns the entries that have lapsed.
     *
     * @param before The entries when the store was last reached, by name.
     * @param after The entries that it holds now, by name.
     * @param group Returns the group of an entry, such as a target's service.
     * @param untilMillis Until when the lapsed ones count, in milliseconds.
     * @return Those that are missing, without those that have left.
     */
    static RetainedEntries of(
            Map<String, StoredEntry> before,
            Map<String, StoredEntry> after,
            Function<StoredEntry, String> group,
            long untilMillis) {
        Map<String, StoredEntry> missing = new HashMap<>(before);
        missing.keySet().removeAll(after.keySet());
        Map<String, Long> missingCounts = countByGroup(missing, group);
        Map<String, Long> presentCounts = countByGroup(after, group);
        // A departed target that counts as ready got requests until 3.4 s after a cut of 12 s.
        missing.values()
                .removeIf(
                        each -> {
                            String name = group.apply(each);
                            return missingCounts.get(name) < presentCounts.getOrDefault(name, 0L);
                        });
        return missing.isEmpty() ? NONE : new RetainedEntries(missing, untilMillis);
    }

    /**
     * Counts the entries of each group.
     *
     * @param entries The entries by name.
     * @param group Returns the group of an entry.
     * @return The number of entries by group.
     */
    private static Map<String, Long> countByGroup(
            Map<String, StoredEntry> entries, Function<StoredEntry, String> group) {
        return entries.values().stream()
                .collect(Collectors.groupingBy(group, Collectors.counting()));
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
    Map<String, StoredEntry> mergedInto(Map<String, StoredEntry> present, long now) {
        Map<String, StoredEntry> all = new HashMap<>();
        if (now < untilMillis) {
            all.putAll(entries);
        }
        all.putAll(present);
        return Map.copyOf(all);
    }
}
