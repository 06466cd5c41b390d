package org.martenwell.member;

import java.util.Collection;
import java.util.List;
import org.martenwell.hash.RendezvousHash;

/** Selects the few routers of a failure domain that watch the platform for the others. */
public enum WatcherSelection {

    /** The only instance. */
    INSTANCE;

    /** How many routers of a failure domain watch. */
    private static final int WATCHERS = 2;

    /** What the routers compete for. */
    private static final String ITEM = "watch";

    /**
     * Returns whether a router watches.
     *
     * @param router The router.
     * @param domain The names of the members in its failure domain, itself included.
     * @return {@code true} if it does.
     */
    public boolean watches(String router, Collection<String> domain) {
        return RendezvousHash.best(
                        List.copyOf(domain), WATCHERS, name -> RendezvousHash.score(name, ITEM))
                .contains(router);
    }
}
