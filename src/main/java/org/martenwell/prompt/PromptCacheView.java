package org.martenwell.prompt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A gateway's estimate of a target's prompt cache. When the cache is full, the least recently used
 * parts are evicted.
 */
public final class PromptCacheView {

    /** The sizes in tokens by key, least recently used first. */
    private final Map<Long, Long> sizes = new LinkedHashMap<>(16, 0.75f, true);

    /** The total size of the cached parts, in tokens. */
    private long totalTokens;

    /** Creates the view of an empty cache. */
    public PromptCacheView() {}

    /**
     * Records a part as cached and most recently used, and evicts parts beyond the capacity.
     *
     * @param key The part's key.
     * @param tokens The part's size in tokens.
     * @param capacity The capacity of the target's cache, in tokens.
     */
    public void put(long key, long tokens, long capacity) {
        Long before = sizes.put(key, tokens);
        totalTokens += tokens - (before == null ? 0 : before);
        Iterator<Map.Entry<Long, Long>> oldest = sizes.entrySet().iterator();
        while (totalTokens > capacity && oldest.hasNext()) {
            totalTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /**
     * Records that the target has evicted a part.
     *
     * @param key The part's key.
     * @return {@code true} if the part was recorded as cached.
     */
    public boolean evict(long key) {
        Long tokens = sizes.remove(key);
        if (tokens == null) {
            return false;
        }
        totalTokens -= tokens;
        return true;
    }

    /**
     * Checks whether a part is recorded as cached.
     *
     * @param key The part's key.
     * @return {@code true} if it is.
     */
    public boolean contains(long key) {
        return sizes.containsKey(key);
    }

    /**
     * Records all parts of a chain as cached.
     *
     * @param chain The chain.
     * @param capacity The capacity of the target's cache, in tokens.
     */
    public void put(PromptChain chain, long capacity) {
        for (int index = 0; index < chain.length(); index++) {
            put(chain.key(index), chain.tokens(index), capacity);
        }
    }

    /** {@return {@code true} if no part is recorded as cached} */
    public boolean isEmpty() {
        return sizes.isEmpty();
    }

    /**
     * Returns a copy of all cached parts.
     *
     * @return The sizes in tokens by key.
     */
    public Map<Long, Long> sizes() {
        return Map.copyOf(sizes);
    }

    /**
     * Returns the size of a chain's cached prefix.
     *
     * @param chain The chain.
     * @return The tokens of the parts before the first one that is not cached.
     */
    public long cachedTokens(PromptChain chain) {
        long tokens = 0;
        for (int index = 0; index < chain.length(); index++) {
            if (!sizes.containsKey(chain.key(index))) {
                return tokens;
            }
            tokens += chain.tokens(index);
        }
        return tokens;
    }
}
