package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ServiceLoader;
import org.martenwell.directory.DirectoryListener;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.settings.GatewaySettings;

/** What a gateway runs on: the formats of its callers and targets and its directory. */
public interface Deployment {

    /**
     * Returns the name by which settings choose the deployment.
     *
     * @return The name.
     */
    String name();

    /**
     * Returns the path at which the balancer asks whether the gateway is ready.
     *
     * @return The path.
     */
    String readinessPath();

    /**
     * Returns the formats of callers and targets.
     *
     * @return The formats.
     */
    RequestDialect dialect();

    /**
     * Creates the directory.
     *
     * @param reactor The loop.
     * @param settings The gateway's settings.
     * @param listener Is told of what the directory holds.
     * @return The directory, not started.
     */
    FleetDirectory directory(
            NioReactor reactor, GatewaySettings settings, DirectoryListener listener);

    /**
     * Finds a deployment, or throws an exception of the kind {@link ErrorKind#INVALID_DOCUMENT}.
     *
     * @param name The name.
     * @return The deployment.
     */
    static Deployment named(String name) {
        for (Deployment each : ServiceLoader.load(Deployment.class)) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        throw MartenwellException.of(
                ErrorKind.INVALID_DOCUMENT, "No deployment is named " + name + ".");
    }
}
