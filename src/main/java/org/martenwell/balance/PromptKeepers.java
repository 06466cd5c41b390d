package org.martenwell.balance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.prompt.PromptChain;

/** What engines keep of one prompt, and which of them comes first for it by hash. */
public final class PromptKeepers {

    /** The smallest copy that is worth asking for, in tokens. */
    private static final long LEAST_COPY_TOKENS = 16;

    /** How many tokens each engine keeps that keeps any. */
    private final Map<TargetLoad, Long> kept = new HashMap<>();

    /** The engine that keeps most or {@code null}. */
    private TargetLoad best;

    /** How many tokens that engine keeps. */
    private long most;

    /** The engine that comes first by hash or {@code null}. */
    private TargetLoad first;

    /** The hash of that engine. */
    private long firstScore = Long.MIN_VALUE;

    /** Creates keepers of a prompt that nobody keeps. */
    private PromptKeepers() {}

    /**
     * Finds out what engines keep of a prompt.
     *
     * @param chain The prompt's shared parts.
     * @param loads The engines that may be chosen.
     * @param leaving Engines that may only hand parts over.
     * @return What they keep.
     */
    public static PromptKeepers of(
            PromptChain chain, Collection<TargetLoad> loads, Collection<TargetLoad> leaving) {
        PromptKeepers keepers = new PromptKeepers();
        for (TargetLoad each : loads) {
            keepers.add(each, chain);
            keepers.score(each, chain);
        }
        leaving.forEach(each -> keepers.add(each, chain));
        return keepers;
    }

    /**
     * Returns how much of the prompt an engine keeps.
     *
     * @param load The engine.
     * @return The kept part in tokens.
     */
    public long keptTokens(TargetLoad load) {
        return kept.getOrDefault(load, 0L);
    }

    /**
     * Returns how much of the prompt is kept by the engine that keeps most of it.
     *
     * @return The kept part in tokens.
     */
    public long most() {
        return most;
    }

    /**
     * Returns the engine from which another one should copy parts of the prompt.
     *
     * @param load The engine that would copy.
     * @return The engine that keeps most, or empty if a copy would bring too little.
     */
    public Optional<TargetLoad> source(TargetLoad load) {
        boolean worthwhile = most - keptTokens(load) >= LEAST_COPY_TOKENS;
        return worthwhile ? Optional.ofNullable(best) : Optional.empty();
    }

    /**
     * Returns whether an engine comes first for the prompt by hash.
     *
     * @param load The engine.
     * @return {@code true} if it does.
     */
    boolean isFirst(TargetLoad load) {
        return load == first;
    }

    /**
     * Takes in what an engine keeps.
     *
     * @param load The engine.
     * @param chain The prompt's shared parts.
     */
    private void add(TargetLoad load, PromptChain chain) {
        long tokens = load.memory().keptTokens(chain);
        if (tokens > 0) {
            kept.put(load, tokens);
        }
        if (tokens > most) {
            most = tokens;
            best = load;
        }
    }

    /**
     * Takes in how an engine scores by hash.
     *
     * @param load The engine.
     * @param chain The prompt's shared parts.
     */
    private void score(TargetLoad load, PromptChain chain) {
        long score = RendezvousHash.score(load.idHash(), chain.lastKey());
        if (first == null || score > firstScore) {
            first = load;
            firstScore = score;
        }
    }
}
