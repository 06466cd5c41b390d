package org.martenwell.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.configuration.Target;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.schedule.KeeperReference;

/**
 * Assigns a coordinator to each target by rendezvous hashing, among the routers of the target's
 * failure domain if there are any. When a router joins or leaves, only the targets that it wins or
 * coordinated are reassigned.
 */
public enum KeeperAssignment {

    /** The only instance. */
    INSTANCE;

    /**
     * Assigns coordinators.
     *
     * @param targets The targets.
     * @param candidates The routers that may coordinate targets.
     * @return The coordinators by name of the target, empty if there are no candidates.
     */
    public Map<String, KeeperReference> assign(
            Collection<Target> targets, Collection<KeeperCandidate> candidates) {
        Map<String, KeeperReference> coordinators = new LinkedHashMap<>();
        List<KeeperCandidate> all = List.copyOf(candidates);
        for (Target target : targets) {
            List<KeeperCandidate> local = new ArrayList<>(all);
            local.removeIf(each -> !each.failureDomain().equals(target.failureDomain()));
            List<KeeperCandidate> preferred = local.isEmpty() ? all : local;
            for (KeeperCandidate winner :
                    RendezvousHash.best(
                            preferred,
                            1,
                            each -> RendezvousHash.score(each.name(), target.name()))) {
                coordinators.put(
                        target.name(), new KeeperReference(winner.name(), winner.incarnation()));
            }
        }
        return coordinators;
    }
}
