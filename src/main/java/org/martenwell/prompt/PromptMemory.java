package org.martenwell.prompt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Which parts of prompts a target probably keeps: those used last, as far as they fit. */
public final class PromptMemory {

    /** The sizes by key, the longest unused first. */
    private final Map<Long, Long> kept = new LinkedHashMap<>(16, 0.75f, true);

    /** The sum of the sizes in tokens. */
    private long keptTokens;

    /** Creates an empty memory. */
    public PromptMemory() {}

    /**
     * Notes that a target keeps a part from now on.
     *
     * @param key The part's key.
     * @param tokens Its size in tokens.
     * @param capacity How many tokens of parts the target keeps.
     */
    public void keep(long key, long tokens, long capacity) {
        Long before = kept.put(key, tokens);
        keptTokens += tokens - (before == null ? 0 : before);
        Iterator<Map.Entry<Long, Long>> oldest = kept.entrySet().iterator();
        while (keptTokens > capacity && oldest.hasNext()) {
            keptTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /**
     * Notes that a target no longer keeps a part.
     *
     * @param key The part's key.
     * @return {@code true} if it was taken to keep it.
     */
    public boolean drop(long key) {
        Long tokens = kept.remove(key);
        if (tokens == null) {
            return false;
        }
        keptTokens -= tokens;
        return true;
    }

    /**
     * Tells whether a target probably keeps a part.
     *
     * @param key The part's key.
     * @return {@code true} if it does.
     */
    public boolean keeps(long key) {
        return kept.containsKey(key);
    }

    /**
     * Notes that a target keeps all parts of a chain.
     *
     * @param chain The chain.
     * @param capacity How many tokens of parts the target keeps.
     */
    public void keep(PromptChain chain, long capacity) {
        for (int index = 0; index < chain.length(); index++) {
            keep(chain.key(index), chain.tokens(index), capacity);
        }
    }

    /**
     * Returns whether nothing is kept.
     *
     * @return {@code true} if so.
     */
    public boolean isEmpty() {
        return kept.isEmpty();
    }

    /**
     * Returns all kept parts.
     *
     * @return The sizes in tokens by key.
     */
    public Map<Long, Long> kept() {
        return Map.copyOf(kept);
    }

    /**
     * Returns how much of a chain is kept.
     *
     * @param chain The chain.
     * @return The tokens up to the first part that is not kept.
     */
    public long keptTokens(PromptChain chain) {
        long tokens = 0;
        for (int index = 0; index < chain.length(); index++) {
            if (!kept.containsKey(chain.key(index))) {
                return tokens;
            }
            tokens += chain.tokens(index);
        }
        return tokens;
    }
}
