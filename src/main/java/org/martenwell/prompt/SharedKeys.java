package org.martenwell.prompt;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys of parts that requests have shared, those seen last. */
public final class SharedKeys {

    /** How many keys are remembered at most. */
    private static final int MAX_KEYS = 16_384;

    /** The keys, the longest unseen first. */
    private final Map<Long, Boolean> keys = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates a set that has seen no key. */
    public SharedKeys() {}

    /**
     * Notes a shared part.
     *
     * @param key The part's key.
     */
    public void seen(long key) {
        keys.put(key, Boolean.TRUE);
        if (keys.size() > MAX_KEYS) {
            keys.remove(keys.keySet().iterator().next());
        }
    }

    /**
     * Tells whether a part is shared.
     *
     * @param key The part's key.
     * @return {@code true} if it was seen as one.
     */
    public boolean contains(long key) {
        return keys.containsKey(key);
    }
}
