package org.martenwell.schedule;

import java.util.List;
import java.util.Optional;
import org.martenwell.configuration.Target;

/** Chooses among targets that have a slot for a request. */
public interface TargetChooser {

    /**
     * Chooses a target.
     *
     * @param request The request.
     * @param pool All targets that serve the request's pool.
     * @param usable Those among them that have a slot for it.
     * @param loads Tells the targets' loads.
     * @return The target or empty if none is usable.
     */
    Optional<Target> choose(
            WaitingRequest request, List<Target> pool, List<Target> usable, TargetLoads loads);

    /**
     * Returns whether a target likely holds the prefix of a request's prompt.
     *
     * @param request The request.
     * @param pool All targets that serve the request's pool.
     * @param target The target.
     * @return {@code true} if it does.
     */
    boolean prefers(WaitingRequest request, List<Target> pool, Target target);
}
