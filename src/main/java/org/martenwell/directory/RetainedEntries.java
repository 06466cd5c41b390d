package org.martenwell.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Entries that were missing after an outage of the store and remain in use for a grace period. If
 * the store itself was unavailable, owners couldn't renew their entries and need time to register
 * again. If only this gateway was disconnected, the entries were removed on purpose and must not be
 * used.
 *
 * <p>The two cases are told apart by the number of missing entries: an outage of the store expires
 * the entries of all owners, while few owners leave at a time. Entries are retained only in groups
 * that miss at least as many entries as they still have.
 */
final class RetainedEntries {

    /** An instance without entries. */
    static final RetainedEntries NONE = new RetainedEntries(Map.of(), Long.MIN_VALUE);

    private final Map<String, StoredEntry> entries;

    /** The end of the grace period, in milliseconds of the event loop's clock. */
    private final long untilMillis;

    private RetainedEntries(Map<String, StoredEntry> entries, long untilMillis) {
        this.entries = entries;
        this.untilMillis = untilMillis;
    }

    /**
     * Selects the missing entries to retain.
     *
     * @param before The entries before the outage, by name.
     * @param after The entries that the store holds now, by name.
     * @param group Returns the group of an entry, such as a target's service.
     * @param untilMillis The end of the grace period, in milliseconds of the event loop's clock.
     * @return The missing entries, without those of groups that lost only a minority.
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
        // A minority of missing entries are targets that were removed while this gateway was
        // disconnected. One that is retained gets requests until 3.4 s after an outage of 12 s.
        missing.values()
                .removeIf(
                        each -> {
                            String name = group.apply(each);
                            return missingCounts.get(name) < presentCounts.getOrDefault(name, 0L);
                        });
        return missing.isEmpty() ? NONE : new RetainedEntries(missing, untilMillis);
    }

    private static Map<String, Long> countByGroup(
            Map<String, StoredEntry> entries, Function<StoredEntry, String> group) {
        return entries.values().stream()
                .collect(Collectors.groupingBy(group, Collectors.counting()));
    }

    /** {@return {@code true} if no entries are retained} */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** {@return the names of the retained entries} */
    Set<String> names() {
        return Set.copyOf(entries.keySet());
    }

    /**
     * Adds the retained entries to those of the store until the grace period ends. An entry in the
     * store takes precedence over a retained one.
     *
     * @param present The entries that the store holds, by name.
     * @param now The current time in milliseconds.
     * @return All entries by name, unmodifiable.
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
