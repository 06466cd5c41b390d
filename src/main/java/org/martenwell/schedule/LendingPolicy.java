package org.martenwell.schedule;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Chooses the router that a free slot is lent to while no requests wait. Each router is due a share
 * in proportion to its recent use plus one, so shares are equal at first.
 */
final class LendingPolicy {

    /** Prevents instantiation. */
    private LendingPolicy() {}

    /**
     * Finds the router whose lent slots are furthest below its share.
     *
     * @param coordinated The target.
     * @param routers The routers that may be lent slots, with their incarnations.
     * @return The router's name, or empty if all routers have their share.
     */
    static Optional<String> furthestBelowShare(
            CoordinatedTarget coordinated, Map<String, Long> routers) {
        Map<String, RouterAllocation> allocations = new TreeMap<>();
        double totalWeight = 0;
        for (Map.Entry<String, Long> router : routers.entrySet()) {
            RouterAllocation allocation =
                    coordinated.allocation(router.getKey(), router.getValue());
            allocations.put(router.getKey(), allocation);
            totalWeight += 1 + allocation.recentUse();
        }
        String furthestBelowShare = null;
        double largestDeficit = 0;
        for (Map.Entry<String, RouterAllocation> entry : allocations.entrySet()) {
            RouterAllocation allocation = entry.getValue();
            double fairShare =
                    (1 + allocation.recentUse()) * coordinated.target().slots() / totalWeight;
            double deficit = fairShare - allocation.totals(SlotClass.ANY).outstanding();
            if (deficit > largestDeficit) {
                largestDeficit = deficit;
                furthestBelowShare = entry.getKey();
            }
        }
        return Optional.ofNullable(furthestBelowShare);
    }
}
