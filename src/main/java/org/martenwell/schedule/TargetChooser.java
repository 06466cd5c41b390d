package org.martenwell.schedule;

import java.util.List;
import java.util.Optional;
import org.martenwell.configuration.Target;

/** Strategy for choosing among the targets that have a slot for a request. */
public interface TargetChooser {

    /**
     * Chooses a target for a request.
     *
     * @param request The request.
     * @param pool All targets that serve the request's pool.
     * @param usable The targets of the pool that have a slot for the request.
     * @param loads The current loads of targets.
     * @return The chosen target, or empty if none is usable.
     */
    Optional<Target> choose(
            WaitingRequest request, List<Target> pool, List<Target> usable, TargetLoads loads);

    /**
     * Checks whether a target is likely to have cached the prefix of a request's prompt.
     *
     * @param request The request.
     * @param pool All targets that serve the request's pool.
     * @param target The target.
     * @return {@code true} if the target is preferred for the prefix.
     */
    boolean prefers(WaitingRequest request, List<Target> pool, Target target);
}
