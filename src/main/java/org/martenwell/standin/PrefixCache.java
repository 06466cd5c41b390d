package org.martenwell.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.target.CacheEvent;

/**
 * A simulated prefix cache of an engine with LRU eviction. It records insertions and evictions as
 * events.
 */
final class PrefixCache {

    private static final int MAX_PREFIXES = 64;

    /** The number of events retained; readers that lag further behind see a gap in the numbers. */
    private static final int MAX_EVENTS = 256;

    /** The cached prefixes, least recently used first. */
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    private final List<CacheEvent> events = new ArrayList<>();

    private long number;

    /** Creates an empty cache. */
    PrefixCache() {}

    /**
     * Inserts or refreshes a prefix and evicts the least recently used one if the cache is full.
     *
     * @param prefix The hash of the prefix.
     */
    void use(long prefix) {
        if (prefixes.put(prefix, true) == null) {
            add(prefix, true);
        }
        if (prefixes.size() > MAX_PREFIXES) {
            long oldest = prefixes.keySet().iterator().next();
            prefixes.remove(oldest);
            add(oldest, false);
        }
    }

    /**
     * Returns the events after a given one.
     *
     * @param after The number of the last known event, or 0.
     * @return The later events that are still retained.
     */
    List<CacheEvent> events(long after) {
        return events.stream().filter(event -> event.number() > after).toList();
    }

    private void add(long prefix, boolean cached) {
        number++;
        events.add(new CacheEvent(number, prefix, cached));
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
    }
}
