package org.martenwell.balance;

import java.util.Collection;
import java.util.Optional;

/** Chooses the target of a plain service: the one whose places are least taken. */
public final class ServiceChooser {

    /** What a target that fails all requests counts, in full targets. */
    private static final double FAILING = 3;

    /** What a target in another failure domain counts, in full targets. */
    private static final double FAR = 0.02;

    /** The failure domain of this gateway. */
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
     * Chooses a target.
     *
     * @param loads The targets that may be chosen.
     * @param now The present time, in milliseconds.
     * @return The target or empty if there is none.
     */
    public Optional<TargetLoad> choose(Collection<TargetLoad> loads, long now) {
        TargetLoad best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (TargetLoad each : loads) {
            double cost =
                    (double) each.all(now).requests() / Math.max(1, each.target().slots())
                            + FAILING * each.health().failureShare(now)
                            + (each.target().failureDomain().equals(failureDomain) ? 0 : FAR);
            if (cost < bestCost) {
                bestCost = cost;
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
