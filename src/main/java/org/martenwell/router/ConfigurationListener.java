package org.martenwell.router;

import org.martenwell.configuration.ActiveConfiguration;

/** Callback for changes of the active configuration. */
@FunctionalInterface
public interface ConfigurationListener {

    /**
     * Called after a configuration became active.
     *
     * @param configuration The active configuration.
     */
    void activated(ActiveConfiguration configuration);
}
