package org.martenwell.schedule;

import org.martenwell.configuration.Target;

/** Tells how loaded targets are. */
@FunctionalInterface
public interface TargetLoads {

    /**
     * Returns a target's load.
     *
     * @param target The target.
     * @return The share of its slots in use, as far as known.
     */
    double load(Target target);
}
