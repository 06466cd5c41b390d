package org.martenwell.member;

import java.util.Collection;
import java.util.List;
import org.martenwell.hash.RendezvousHash;

/**
 * Selects the routers of a failure domain that watch the platform on behalf of the others, by
 * rendezvous hashing.
 */
public enum WatcherSelection {

    /** The only instance. */
    INSTANCE;

    /** The number of watchers per failure domain. */
    private static final int WATCHERS = 2;

    /** The item for which the routers' scores are computed. */
    private static final String ITEM = "watch";

    /**
     * Returns {@code true} if a router is a watcher of its failure domain.
     *
     * @param router The name of the router.
     * @param domain The names of all members in its failure domain, including itself.
     * @return {@code true} if the router is selected.
     */
    public boolean watches(String router, Collection<String> domain) {
        return RendezvousHash.best(
                        List.copyOf(domain), WATCHERS, name -> RendezvousHash.score(name, ITEM))
                .contains(router);
    }
}
