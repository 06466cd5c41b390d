package org.martenwell.daemon;

import java.util.List;
import java.util.Set;
import org.martenwell.configuration.Target;
import org.martenwell.member.CoordinatorCandidate;

/**
 * The input of an assignment of coordinators to targets. An assignment is skipped if its input
 * equals that of the previous one.
 *
 * @param targets All targets of the active configuration.
 * @param candidates The ready routers, which may coordinate targets.
 * @param members The names of all members, ready or not.
 */
record AssignmentInput(
        List<Target> targets, List<CoordinatorCandidate> candidates, Set<String> members) {}
