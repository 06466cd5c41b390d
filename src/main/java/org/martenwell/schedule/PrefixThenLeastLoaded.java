package org.martenwell.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.martenwell.configuration.Target;
import org.martenwell.hash.RendezvousHash;

/**
 * Prefers the targets that rendezvous hashing selects for the prompt's prefix, unless their load is
 * well above the average. Falls back to the least loaded target.
 */
public enum PrefixThenLeastLoaded implements TargetChooser {

    /** The only instance. */
    INSTANCE;

    /** Number of targets that share the requests of one prefix. */
    private static final int REPLICAS = 2;

    /** Maximum load of a preferred target, as a multiple of the pool's average. */
    private static final double RELATIVE_LOAD_BOUND = 1.25;

    /** Load up to which a preferred target is always chosen, whatever the average. */
    private static final double MIN_LOAD_BOUND = 0.5;

    @Override
    public Optional<Target> choose(
            WaitingRequest request, List<Target> pool, List<Target> usable, TargetLoads loads) {
        double average = pool.stream().mapToDouble(loads::load).average().orElse(0);
        double bound = Math.max(MIN_LOAD_BOUND, average * RELATIVE_LOAD_BOUND);
        return preferred(request, pool).stream()
                .filter(usable::contains)
                .filter(target -> loads.load(target) <= bound)
                .findFirst()
                .or(() -> usable.stream().min(Comparator.comparingDouble(loads::load)));
    }

    @Override
    public boolean prefers(WaitingRequest request, List<Target> pool, Target target) {
        return preferred(request, pool).contains(target);
    }

    /**
     * Returns the targets that a prefix maps to.
     *
     * @param request The request.
     * @param pool All targets that serve the request's pool.
     * @return The targets, the most preferred first; empty if the request has no prefix.
     */
    private static List<Target> preferred(WaitingRequest request, List<Target> pool) {
        if (request.prefix() == 0) {
            return List.of();
        }
        return RendezvousHash.best(
                pool, REPLICAS, target -> RendezvousHash.score(target.name(), request.prefix()));
    }
}
