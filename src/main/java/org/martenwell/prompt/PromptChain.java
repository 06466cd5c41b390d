package org.martenwell.prompt;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.hash.RendezvousHash;

/**
 * The shared parts at the beginning of a prompt. A kept part only counts if all parts before it are
 * kept as well, for the same model.
 */
public final class PromptChain {

    /** A chain without parts. */
    public static final PromptChain EMPTY = new PromptChain(List.of(), List.of());

    /** The keys. */
    private final List<Long> keys;

    /** The sizes in tokens. */
    private final List<Long> tokens;

    /** The size of all parts, in tokens; it is asked for again and again. */
    private final long totalTokens;

    /**
     * Creates a chain.
     *
     * @param keys The keys.
     * @param tokens The sizes in tokens.
     */
    private PromptChain(List<Long> keys, List<Long> tokens) {
        this.keys = List.copyOf(keys);
        this.tokens = List.copyOf(tokens);
        this.totalTokens = tokens.stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Creates the chain of a prompt. Its last part belongs to the request alone and is left out.
     *
     * @param model The model.
     * @param parts All parts of the prompt.
     * @return The chain.
     */
    public static PromptChain of(String model, List<PromptPart> parts) {
        List<Long> keys = new ArrayList<>();
        List<Long> tokens = new ArrayList<>();
        for (PromptPart each : parts.subList(0, Math.max(0, parts.size() - 1))) {
            keys.add(key(model, each.id()));
            tokens.add(each.tokens());
        }
        return new PromptChain(keys, tokens);
    }

    /**
     * Returns the key of a part.
     *
     * @param model The model.
     * @param id The part's id.
     * @return The key.
     */
    public static long key(String model, String id) {
        return RendezvousHash.hash(model + '/' + id);
    }

    /**
     * Returns how many parts there are.
     *
     * @return The number of parts.
     */
    public int length() {
        return keys.size();
    }

    /**
     * Returns the key of a part.
     *
     * @param index The part's index.
     * @return The key.
     */
    public long key(int index) {
        return keys.get(index);
    }

    /**
     * Returns the size of a part.
     *
     * @param index The part's index.
     * @return The size in tokens.
     */
    public long tokens(int index) {
        return tokens.get(index);
    }

    /**
     * Returns the key of the whole chain.
     *
     * @return The last part's key or 0.
     */
    public long wholeKey() {
        return keys.isEmpty() ? 0 : keys.get(keys.size() - 1);
    }

    /**
     * Returns the size of the whole chain.
     *
     * @return The size in tokens.
     */
    public long totalTokens() {
        return totalTokens;
    }
}
