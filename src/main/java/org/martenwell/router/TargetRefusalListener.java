package org.martenwell.router;

import org.martenwell.configuration.Target;

/** Callback for targets that refuse requests. */
@FunctionalInterface
public interface TargetRefusalListener {

    /**
     * Called when a target refused a request before it ran.
     *
     * @param target The target.
     */
    void refused(Target target);
}
