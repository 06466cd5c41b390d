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
 * Assigns a keeper to each target by rendezvous hashing, preferring routers of the target's failure
 * domain. When a router comes or goes, only targets that it wins or held change their keeper.
 */
public enum CoordinatorAssignment {

    /** The only instance. */
    INSTANCE;

    /**
     * Assigns keepers.
     *
     * @param targets The targets.
     * @param candidates The routers that may keep targets.
     * @return The keeper of each target, by target; empty if there are no candidates.
     */
    public Map<String, CoordinatorReference> assign(
            Collection<Target> targets, Collection<CoordinatorCandidate> candidates) {
        Map<String, CoordinatorReference> coordinators = new LinkedHashMap<>();
        List<CoordinatorCandidate> all = List.copyOf(candidates);
        for (Target target : targets) {
            List<CoordinatorCandidate> near = new ArrayList<>(all);
            near.removeIf(each -> !each.failureDomain().equals(target.failureDomain()));
            List<CoordinatorCandidate> preferred = near.isEmpty() ? all : near;
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
