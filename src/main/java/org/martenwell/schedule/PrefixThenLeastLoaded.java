package org.martenwell.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.martenwell.configuration.Target;
import org.martenwell.hash.RendezvousHash;

/**
 * Prefers the targets that rendezvous hashing gives for the prompt's prefix unless they are loaded
 * far above the average, then the least loaded.
 */
public enum PrefixThenLeastLoaded implements TargetChooser {

    /** The only instance. */
    INSTANCE;

    /** How many targets share the requests of one prefix. */
    private static final int REPLICAS = 2;

    /** How far above the average load a preferred target may be. */
    private static final double LOAD_BOUND = 1.25;

    /** The load that a preferred target may always have. */
    private static final double FREE_LOAD = 0.5;

    @Override
    public Optional<Target> choose(
            WaitingRequest request, List<Target> pool, List<Target> usable, TargetLoads loads) {
        double average = pool.stream().mapToDouble(loads::load).average().orElse(0);
        double bound = Math.max(FREE_LOAD, average * LOAD_BOUND);
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
     * Returns the targets that a prefix belongs to.
     *
     * @param request The request.
     * @param pool All targets that serve the request's pool.
     * @return The targets, the most preferred first.
     */
    private static List<Target> preferred(WaitingRequest request, List<Target> pool) {
        if (request.prefix() == 0) {
            return List.of();
        }
        return RendezvousHash.best(
                pool, REPLICAS, target -> RendezvousHash.score(target.name(), request.prefix()));
    }
}
