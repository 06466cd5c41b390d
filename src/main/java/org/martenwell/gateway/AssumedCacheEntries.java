package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.TargetLoad;
import org.martenwell.prompt.PromptChain;

/**
 * Prompt parts that are assumed to be in an engine's cache because a request with them was sent to
 * it. They are rolled back if the engine did not prefill the prompt: engines report only changes of
 * their cache, so no report would correct the assumption.
 */
final class AssumedCacheEntries {

    private final GatewayCore core;

    private final TargetLoad load;

    /** The keys of the parts that were not known to be cached before. */
    private final List<Long> addedKeys;

    private AssumedCacheEntries(GatewayCore core, TargetLoad load, List<Long> addedKeys) {
        this.core = core;
        this.load = load;
        this.addedKeys = addedKeys;
    }

    /**
     * Records that an engine caches the parts of a prompt, and queues this for the next report to
     * peers.
     *
     * @param core The state that all requests share.
     * @param load The engine.
     * @param chain The parts of the prompt.
     * @return The entries that were added, for {@link #rollBack}.
     */
    static AssumedCacheEntries add(GatewayCore core, TargetLoad load, PromptChain chain) {
        List<Long> addedKeys = new ArrayList<>();
        for (int index = 0; index < chain.length(); index++) {
            if (!load.promptCache().contains(chain.key(index))) {
                addedKeys.add(chain.key(index));
            }
        }
        if (!addedKeys.isEmpty()) {
            core.queueCacheUpdate(load.target().incarnation(), chain);
        }
        load.promptCache().put(chain, core.promptCacheCapacity(load));
        return new AssumedCacheEntries(core, load, addedKeys);
    }

    /** Removes the added entries because the engine did not prefill the prompt. */
    void rollBack() {
        for (long key : addedKeys) {
            if (load.promptCache().evict(key)) {
                core.queueCacheUpdate(new CachedPartUpdate(load.target().incarnation(), key, 0));
            }
        }
    }
}
