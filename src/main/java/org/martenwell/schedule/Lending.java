package org.martenwell.schedule;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which router a free slot is lent to while nobody waits: by recent use, evenly at first.
 */
final class Lending {

    /** Not instantiated. */
    private Lending() {}

    /**
     * Picks the router that has the least of what it is due.
     *
     * @param kept The target.
     * @param routers The routers that may be lent slots, with their incarnations.
     * @return The router or empty if each has what it is due.
     */
    static Optional<String> neediest(KeptTarget kept, Map<String, Long> routers) {
        Map<String, RouterShare> shares = new TreeMap<>();
        double use = 0;
        for (Map.Entry<String, Long> router : routers.entrySet()) {
            RouterShare share = kept.share(router.getKey(), router.getValue());
            shares.put(router.getKey(), share);
            use += 1 + share.recentUse();
        }
        String neediest = null;
        double most = 0;
        for (Map.Entry<String, RouterShare> entry : shares.entrySet()) {
            RouterShare share = entry.getValue();
            double due = (1 + share.recentUse()) * kept.target().slots() / use;
            double missing = due - share.totals(SlotClass.ANY).outstanding();
            if (missing > most) {
                most = missing;
                neediest = entry.getKey();
            }
        }
        return Optional.ofNullable(neediest);
    }
}
