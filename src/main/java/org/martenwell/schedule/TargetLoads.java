package org.martenwell.schedule;

import org.martenwell.configuration.Target;

/** Lookup of the current loads of targets. */
@FunctionalInterface
public interface TargetLoads {

    /**
     * Returns a target's load.
     *
     * @param target The target.
     * @return The share of its slots in use, as far as known to the caller.
     */
    double load(Target target);
}
