package org.martenwell.balance;

import java.util.Collection;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the target of a request to a plain service, which is one without model engines, by the
 * fraction of its slots in use.
 *
 * <p>The loads reported by peers are out of date by some time. If all gateways chose the least
 * loaded target, they would overload it until their next reports. Random noise on the costs, in
 * proportion to the requests that may have been sent since, spreads the requests.
 */
public final class ServiceChooser {

    /** The additional cost of a target whose requests all fail, as a multiple of all its slots. */
    private static final double ALL_FAILING_COST = 3;

    /**
     * The additional cost of a target in another failure domain, as a fraction of all its slots.
     */
    private static final double OTHER_DOMAIN_COST = 0.02;

    private final String failureDomain;

    private final Random random;

    /**
     * Creates a chooser.
     *
     * @param failureDomain The failure domain of this gateway.
     * @param random The source of the noise on costs.
     */
    public ServiceChooser(String failureDomain, Random random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    /**
     * Chooses the target with the lowest cost.
     *
     * @param loads The targets that may be chosen.
     * @param unreportedRequests The estimated requests that peers have sent to each target since
     *     their last reports; 0 disables the noise on costs.
     * @param now The current time, in milliseconds.
     * @return The target, or empty if there is none.
     */
    public Optional<TargetLoad> choose(
            Collection<TargetLoad> loads, double unreportedRequests, long now) {
        TargetLoad best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (TargetLoad each : loads) {
            double cost =
                    (double) each.totalLoad(now).requests() / Math.max(1, each.target().slots())
                            + ALL_FAILING_COST * each.health().failureRate(now)
                            + (each.target().failureDomain().equals(failureDomain)
                                    ? 0
                                    : OTHER_DOMAIN_COST)
                            + GumbelNoise.sample(
                                    unreportedRequests / Math.max(1, each.target().slots()),
                                    random);
            if (cost < bestCost) {
                bestCost = cost;
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
