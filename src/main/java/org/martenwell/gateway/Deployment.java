package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ServiceLoader;
import java.util.function.LongSupplier;
import org.martenwell.directory.DirectoryListener;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.settings.GatewaySettings;

/**
 * The environment that a gateway runs in: the HTTP formats of callers and targets, and the
 * directory service. Implementations are found by {@link ServiceLoader}.
 */
public interface Deployment {

    /** {@return the name that selects this deployment in the settings} */
    String name();

    /** {@return the HTTP path of the readiness check of the load balancer} */
    String readinessPath();

    /** {@return the HTTP formats of callers and targets} */
    RequestDialect dialect();

    /**
     * Creates the client of the directory service.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it timeouts of calls are measured.
     * @param settings The gateway's settings.
     * @param listener Receives the contents of the directory and their changes.
     * @return The client, not started.
     */
    FleetDirectory directory(
            NioReactor reactor,
            LongSupplier clock,
            GatewaySettings settings,
            DirectoryListener listener);

    /**
     * Finds a deployment by name.
     *
     * @param name The name of the deployment.
     * @return The deployment.
     * @throws MartenwellException of the kind {@link ErrorKind#INVALID_DOCUMENT} if there is none
     *     of that name.
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
