package org.martenwell.daemon;

import java.util.List;
import java.util.Set;
import org.martenwell.configuration.Target;
import org.martenwell.member.CoordinatorCandidate;

/**
 * What the keepers of targets are assigned from.
 *
 * @param targets All targets.
 * @param candidates The routers that may keep targets.
 * @param members The names of all members.
 */
record AssignmentInput(
        List<Target> targets, List<CoordinatorCandidate> candidates, Set<String> members) {}
