package org.martenwell.directory;

import java.util.Collection;
import java.util.List;

/**
 * Finds targets whose entries lack their start although most others tell theirs. Such an entry is
 * not the target's own. At a deployment where targets do not tell their starts, none is found.
 */
final class TargetsWithoutStart {

    /** Not instantiated. */
    private TargetsWithoutStart() {}

    /**
     * Finds them.
     *
     * @param targets All targets.
     * @return Those that tell no start, if more than half of all do.
     */
    static List<DirectoryTarget> of(Collection<DirectoryTarget> targets) {
        List<DirectoryTarget> withoutStart =
                targets.stream().filter(each -> each.bornMillis().isEmpty()).toList();
        return 2 * withoutStart.size() < targets.size() ? withoutStart : List.of();
    }
}
