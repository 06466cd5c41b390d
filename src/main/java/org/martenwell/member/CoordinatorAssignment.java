package org.martenwell.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.configuration.Target;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.schedule.CoordinatorReference;

/**
 * Assigns a coordinator to each target by rendezvous hashing, among the routers of the target's
 * failure domain if there are any. When a router joins or leaves, only the targets that it wins or
 * coordinated are reassigned.
 */
public enum CoordinatorAssignment {

    /** The only instance. */
    INSTANCE;

    /**
     * Assigns coordinators.
     *
     * @param targets The targets.
     * @param candidates The routers that may coordinate targets.
     * @return The coordinators by name of the target, empty if there are no candidates.
     */
    public Map<String, CoordinatorReference> assign(
            Collection<Target> targets, Collection<CoordinatorCandidate> candidates) {
        Map<String, CoordinatorReference> coordinators = new LinkedHashMap<>();
        List<CoordinatorCandidate> all = List.copyOf(candidates);
        for (Target target : targets) {
            List<CoordinatorCandidate> local = new ArrayList<>(all);
            local.removeIf(each -> !each.failureDomain().equals(target.failureDomain()));
            List<CoordinatorCandidate> preferred = local.isEmpty() ? all : local;
            for (CoordinatorCandidate winner :
                    RendezvousHash.best(
                            preferred,
                            1,
                            each -> RendezvousHash.score(each.name(), target.name()))) {
                coordinators.put(
                        target.name(),
                        new CoordinatorReference(winner.name(), winner.incarnation()));
            }
        }
        return coordinators;
    }
}
