package org.martenwell.prompt;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded set of the keys of shared prompt parts. The least recently used key is discarded first.
 */
public final class SharedKeys {

    private static final int MAX_KEYS = 16_384;

    /** The keys, least recently used first. */
    private final Map<Long, Boolean> keys = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty set. */
    public SharedKeys() {}

    /**
     * Adds the key of a shared part, or marks it as most recently used.
     *
     * @param key The part's key.
     */
    public void add(long key) {
        keys.put(key, Boolean.TRUE);
        if (keys.size() > MAX_KEYS) {
            keys.remove(keys.keySet().iterator().next());
        }
    }

    /**
     * Checks whether a part is known to be shared.
     *
     * @param key The part's key.
     * @return {@code true} if the set contains its key.
     */
    public boolean contains(long key) {
        return keys.containsKey(key);
    }
}
