package org.martenwell.router;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.FleetConfigurationReader;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;

/** Holds the configuration in force. Its version never falls. */
public final class ConfigurationStore {

    /** The kind of the platform's object that holds the configuration. */
    public static final String KIND = "configuration";

    /** The name of the platform's object that holds the configuration. */
    public static final String NAME = "fleet";

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationStore.class);

    /** Is told when a configuration is in force. */
    private final ConfigurationListener listener;

    /** The configuration in force. */
    private Optional<ActiveConfiguration> active = Optional.empty();

    /** The configuration as it is stored. */
    private String text = "";

    /**
     * Creates an empty store.
     *
     * @param listener Is told when a configuration is in force.
     */
    public ConfigurationStore(ConfigurationListener listener) {
        this.listener = listener;
    }

    /**
     * Takes in a configuration from the platform or a peer. Only a higher version is put in force.
     *
     * @param version The version.
     * @param stored The configuration as it is stored.
     */
    public void offer(long version, String stored) {
        if (version <= version()) {
            return;
        }
        try {
            ActiveConfiguration next =
                    ActiveConfiguration.of(
                            version,
                            FleetConfigurationReader.INSTANCE.read(NAME + "@" + version, stored));
            active = Optional.of(next);
            text = stored;
            LOGGER.info(LogEvent.of("configuration").with("version", version).message());
            listener.inForce(next);
        } catch (MartenwellException invalid) {
            LOGGER.error(
                    LogEvent.of("configuration-invalid")
                            .with("version", version)
                            .with("reason", invalid.getMessage())
                            .message());
        }
    }

    /**
     * Returns the version in force.
     *
     * @return The version or 0 if there is none.
     */
    public long version() {
        return active.map(ActiveConfiguration::version).orElse(0L);
    }

    /**
     * Returns the configuration in force.
     *
     * @return The configuration.
     */
    public Optional<ActiveConfiguration> active() {
        return active;
    }

    /**
     * Returns the configuration as it is stored.
     *
     * @return The text or an empty string.
     */
    public String text() {
        return text;
    }
}
