package org.martenwell.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.target.CacheEvent;

/**
 * The prefix cache of a stand-in engine: it holds the prefixes used last and tells what changed.
 */
final class PrefixCache {

    /** How many prefixes it holds. */
    private static final int MAX_PREFIXES = 64;

    /** How many events it remembers; whoever asks later finds a gap. */
    private static final int MAX_EVENTS = 256;

    /** The prefixes held, the one used longest ago first. */
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    /** The last events. */
    private final List<CacheEvent> events = new ArrayList<>();

    /** The number of the last event. */
    private long number;

    /** Creates an empty cache. */
    PrefixCache() {}

    /**
     * Uses a prefix.
     *
     * @param prefix The prefix's hash.
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
     * Returns what changed.
     *
     * @param after The number of the last known event.
     * @return Later events, as far as remembered.
     */
    List<CacheEvent> events(long after) {
        return events.stream().filter(event -> event.number() > after).toList();
    }

    /**
     * Remembers an event.
     *
     * @param prefix The prefix's hash.
     * @param held {@code true} if it is held now.
     */
    private void add(long prefix, boolean held) {
        number++;
        events.add(new CacheEvent(number, prefix, held));
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
    }
}
