package org.martenwell.route;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.exchange.ConnectionLimits;

/**
 * Configuration that all gateways of a fleet share.
 *
 * @param version The version, which increases with each change.
 * @param routes The routes.
 * @param services The services by name.
 * @param limits The limits on connections and requests of callers.
 * @param tokensPerSecond The tokens that all targets together can generate per second, 0 if not
 *     configured.
 * @param apiKeysRequired {@code true} if requests need an API key, except on anonymous routes.
 * @param keys The organisations by API key, which is encoded as a {@link
 *     org.martenwell.exchange.FieldValue}.
 * @param invalidEntries The parts that are not in force.
 */
public record GatewayConfiguration(
        long version,
        List<Route> routes,
        Map<String, ServiceConfiguration> services,
        ConnectionLimits limits,
        long tokensPerSecond,
        boolean apiKeysRequired,
        Map<String, OrganisationConfiguration> keys,
        List<InvalidEntry> invalidEntries) {

    /**
     * Returns a service.
     *
     * @param name The name of the service.
     * @return The service, empty if it isn't configured.
     */
    public Optional<ServiceConfiguration> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether requests of a route go to model engines.
     *
     * @param route The route.
     * @return {@code true} if one of its services runs engines.
     */
    public boolean leadsToEngines(Route route) {
        return route.services().stream()
                .map(each -> service(each.service()))
                .flatMap(Optional::stream)
                .anyMatch(each -> each.engine().isPresent());
    }
}
