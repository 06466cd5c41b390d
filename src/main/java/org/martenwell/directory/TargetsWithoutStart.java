package org.martenwell.directory;

import java.util.Collection;
import java.util.List;

/**
 * Finds targets without a start time in deployments where most targets publish one. Such an entry
 * wasn't written by the target itself and is not trusted.
 */
final class TargetsWithoutStart {

    private TargetsWithoutStart() {}

    /**
     * Returns the targets that lack a start time, if they are a minority.
     *
     * @param targets All targets.
     * @return The targets without a start time; empty if at least half of all targets have none,
     *     since the deployment then doesn't publish start times.
     */
    static List<DirectoryTarget> of(Collection<DirectoryTarget> targets) {
        List<DirectoryTarget> withoutStart =
                targets.stream().filter(each -> each.startMillis().isEmpty()).toList();
        return 2 * withoutStart.size() < targets.size() ? withoutStart : List.of();
    }
}
