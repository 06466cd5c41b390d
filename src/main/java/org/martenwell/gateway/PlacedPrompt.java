package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.TargetLoad;
import org.martenwell.prompt.PromptChain;

/**
 * The parts of a prompt that an engine is taken to keep because a request was sent to it. They are
 * taken back if the engine turns out not to have read them: its own word tells only of parts that
 * come and go, so a wrong belief would stay and let others read the parts there anew.
 */
final class PlacedPrompt {

    /** What all requests share. */
    private final GatewayCore core;

    /** The engine. */
    private final TargetLoad load;

    /** The keys of the parts that it did not keep before. */
    private final List<Long> keys;

    /**
     * Creates placed parts.
     *
     * @param core What all requests share.
     * @param load The engine.
     * @param keys The keys of the parts that it did not keep before.
     */
    private PlacedPrompt(GatewayCore core, TargetLoad load, List<Long> keys) {
        this.core = core;
        this.load = load;
        this.keys = keys;
    }

    /**
     * Notes that an engine keeps the parts of a prompt from now on.
     *
     * @param core What all requests share.
     * @param load The engine.
     * @param chain The parts.
     * @return The parts that it did not keep before.
     */
    static PlacedPrompt at(GatewayCore core, TargetLoad load, PromptChain chain) {
        List<Long> keys = new ArrayList<>();
        for (int index = 0; index < chain.length(); index++) {
            if (!load.promptCache().contains(chain.key(index))) {
                keys.add(chain.key(index));
            }
        }
        if (!keys.isEmpty()) {
            core.placed(load.target().life(), chain);
        }
        load.promptCache().put(chain, core.keptCapacity(load));
        return new PlacedPrompt(core, load, keys);
    }

    /** Notes that the engine has not read the parts. */
    void takeBack() {
        for (long key : keys) {
            if (load.promptCache().evict(key)) {
                core.placed(new CachedPartUpdate(load.target().life(), key, 0));
            }
        }
    }
}
