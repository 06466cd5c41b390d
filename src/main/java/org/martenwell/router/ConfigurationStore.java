package org.martenwell.router;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.FleetConfigurationReader;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;

/** The active configuration of this router. Its version only increases. */
public final class ConfigurationStore {

    /** Kind of the platform object that contains the configuration. */
    public static final String KIND = "configuration";

    /** Name of the platform object that contains the configuration. */
    public static final String NAME = "fleet";

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationStore.class);

    private final ConfigurationListener listener;

    private Optional<ActiveConfiguration> active = Optional.empty();

    /** The active configuration as stored, or an empty string. */
    private String text = "";

    /**
     * Creates a store without an active configuration.
     *
     * @param listener The listener for changes of the active configuration.
     */
    public ConfigurationStore(ConfigurationListener listener) {
        this.listener = listener;
    }

    /**
     * Activates a configuration received from the platform or a peer, if its version is higher than
     * the active one. An invalid configuration is logged and ignored.
     *
     * @param version The version of the configuration.
     * @param stored The configuration as stored.
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
            listener.activated(next);
        } catch (MartenwellException invalid) {
            LOGGER.error(
                    LogEvent.of("configuration-invalid")
                            .with("version", version)
                            .with("reason", invalid.getMessage())
                            .message());
        }
    }

    /** {@return the active version, or 0 if there is none} */
    public long version() {
        return active.map(ActiveConfiguration::version).orElse(0L);
    }

    /** {@return the active configuration, or empty if there is none} */
    public Optional<ActiveConfiguration> active() {
        return active;
    }

    /** {@return the active configuration as stored, or an empty string if there is none} */
    public String text() {
        return text;
    }
}
