package org.martenwell.router;

import org.martenwell.configuration.ActiveConfiguration;

/** Is told when a configuration is in force. */
@FunctionalInterface
public interface ConfigurationListener {

    /**
     * Called when a configuration is in force.
     *
     * @param configuration The configuration.
     */
    void inForce(ActiveConfiguration configuration);
}
