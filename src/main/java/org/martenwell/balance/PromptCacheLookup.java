package org.martenwell.balance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.prompt.PromptChain;

/**
 * The cached tokens of one prompt by engine, and the engine that the hash prefers for the prompt.
 */
public final class PromptCacheLookup {

    /** The smallest gain for which cached parts are copied, in tokens. */
    private static final long MIN_COPY_TOKENS = 16;

    /** The cached tokens by engine; engines without any are left out. */
    private final Map<TargetLoad, Long> cachedByEngine = new HashMap<>();

    /**
     * The engine with the most cached tokens of each version; versions without any are left out.
     */
    private final Map<String, TargetLoad> largestHolders = new HashMap<>();

    /** The most cached tokens of an engine. */
    private long maxTokens;

    /** The engine with the highest hash score; {@code null} if there are no engines. */
    private TargetLoad preferred;

    private long preferredScore = Long.MIN_VALUE;

    private PromptCacheLookup() {}

    /**
     * Looks up a prompt in the caches of engines.
     *
     * @param chain The prompt's shared parts.
     * @param loads The engines that may be chosen.
     * @param draining The engines that can't be chosen but can serve as the source of a copy.
     * @return The result.
     */
    public static PromptCacheLookup of(
            PromptChain chain, Collection<TargetLoad> loads, Collection<TargetLoad> draining) {
        PromptCacheLookup lookup = new PromptCacheLookup();
        for (TargetLoad each : loads) {
            lookup.addCached(each, chain);
            lookup.updatePreferred(each, chain);
        }
        draining.forEach(each -> lookup.addCached(each, chain));
        return lookup;
    }

    /**
     * Returns the cached tokens of the prompt at an engine.
     *
     * @param load The engine.
     * @return The tokens, 0 if none.
     */
    public long cachedTokens(TargetLoad load) {
        return cachedByEngine.getOrDefault(load, 0L);
    }

    /**
     * Returns the cached tokens at the engine that has the most.
     *
     * @return The tokens, 0 if no engine has any.
     */
    public long maxCachedTokens() {
        return maxTokens;
    }

    /**
     * Returns the engine from which an engine should copy cached parts. Those of another version of
     * the engines' software are never copied.
     *
     * @param load The engine that would receive the copy.
     * @return The engine of its version with the most cached tokens, or empty if the gain is too
     *     small.
     */
    public Optional<TargetLoad> copySource(TargetLoad load) {
        return Optional.ofNullable(largestHolders.get(load.target().version()))
                .filter(each -> cachedTokens(each) - cachedTokens(load) >= MIN_COPY_TOKENS);
    }

    /**
     * Checks whether an engine is the one that the hash prefers.
     *
     * @param load The engine.
     * @return {@code true} if it is.
     */
    boolean isPreferred(TargetLoad load) {
        return load == preferred;
    }

    private void addCached(TargetLoad load, PromptChain chain) {
        long tokens = load.promptCache().cachedTokens(chain);
        if (tokens == 0) {
            return;
        }
        cachedByEngine.put(load, tokens);
        maxTokens = Math.max(maxTokens, tokens);
        TargetLoad holder = largestHolders.get(load.target().version());
        if (holder == null || tokens > cachedTokens(holder)) {
            largestHolders.put(load.target().version(), load);
        }
    }

    private void updatePreferred(TargetLoad load, PromptChain chain) {
        long score = RendezvousHash.score(load.idHash(), chain.lastKey());
        if (preferred == null || score > preferredScore) {
            preferred = load;
            preferredScore = score;
        }
    }
}
