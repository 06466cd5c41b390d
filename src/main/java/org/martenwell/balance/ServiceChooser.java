package org.martenwell.balance;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the target of a request to a plain service, which is one without model engines, by the
 * fraction of its slots in use.
 */
public final class ServiceChooser {

    /** The additional cost of a target whose requests all fail, as a multiple of all its slots. */
    private static final double ALL_FAILING_COST = 3;

    /**
     * The additional cost of a target in another failure domain, as a fraction of all its slots.
     */
    private static final double OTHER_DOMAIN_COST = 0.02;

    private final String failureDomain;

    /**
     * Creates a chooser.
     *
     * @param failureDomain The failure domain of this gateway.
     */
    public ServiceChooser(String failureDomain) {
        this.failureDomain = failureDomain;
    }

    /**
     * Chooses the target with the lowest cost.
     *
     * @param loads The targets that may be chosen.
     * @param now The current time, in milliseconds.
     * @return The target, or empty if there is none.
     */
    public Optional<TargetLoad> choose(Collection<TargetLoad> loads, long now) {
        TargetLoad best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (TargetLoad each : loads) {
            double cost =
                    (double) each.totalLoad(now).requests() / Math.max(1, each.target().slots())
                            + ALL_FAILING_COST * each.health().failureRate(now)
                            + (each.target().failureDomain().equals(failureDomain)
                                    ? 0
                                    : OTHER_DOMAIN_COST);
            if (cost < bestCost) {
                bestCost = cost;
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
