package org.martenwell.prompt;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.hash.RendezvousHash;

/**
 * The shared prefix of a prompt, as a sequence of parts. A target can use a cached part only if it
 * has cached all parts before it for the same model.
 */
public final class PromptChain {

    /** The chain of a prompt without shared parts. */
    public static final PromptChain EMPTY = new PromptChain(List.of(), List.of());

    private final List<Long> keys;

    /** The sizes of the parts in tokens, in the order of the keys. */
    private final List<Long> tokens;

    private final long totalTokens;

    private PromptChain(List<Long> keys, List<Long> tokens) {
        this.keys = List.copyOf(keys);
        this.tokens = List.copyOf(tokens);
        this.totalTokens = tokens.stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Creates the chain of a prompt. The last part is specific to the request and is left out.
     *
     * @param model The model.
     * @param parts All parts of the prompt, in their order.
     * @return The chain, empty if the prompt has fewer than two parts.
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
     * Computes the key by which caches identify a part for a model.
     *
     * @param model The model.
     * @param id The part's id.
     * @return The key.
     */
    public static long key(String model, String id) {
        return RendezvousHash.hash(model + '/' + id);
    }

    /** {@return the number of parts} */
    public int length() {
        return keys.size();
    }

    /**
     * Returns the key of a part.
     *
     * @param index The part's index, from 0.
     * @return The key.
     */
    public long key(int index) {
        return keys.get(index);
    }

    /**
     * Returns the size of a part.
     *
     * @param index The part's index, from 0.
     * @return The size in tokens.
     */
    public long tokens(int index) {
        return tokens.get(index);
    }

    /** {@return the key of the last part, 0 if there is none} */
    public long lastKey() {
        return keys.isEmpty() ? 0 : keys.get(keys.size() - 1);
    }

    /** {@return the total size of all parts, in tokens} */
    public long totalTokens() {
        return totalTokens;
    }
}
