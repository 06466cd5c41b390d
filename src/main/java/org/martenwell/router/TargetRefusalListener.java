package org.martenwell.router;

import org.martenwell.configuration.Target;

/** Is told of signs that a target takes no new work. */
@FunctionalInterface
public interface TargetRefusalListener {

    /**
     * Called when a target refused a request before it started.
     *
     * @param target The target.
     */
    void refused(Target target);
}
