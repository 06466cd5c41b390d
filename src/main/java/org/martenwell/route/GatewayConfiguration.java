package org.martenwell.route;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.exchange.ConnectionLimits;

/**
 * A whole configuration of gateways.
 *
 * @param version The version; later ones are greater.
 * @param routes The routes.
 * @param services The services by name.
 * @param limits What callers may send.
 * @param tokensPerSecond How many tokens all targets together produce in a second, or 0.
 * @param keyed Whether requests need keys on routes that are not anonymous.
 * @param keys The organisations by key.
 */
public record GatewayConfiguration(
        long version,
        List<Route> routes,
        Map<String, ServiceTerms> services,
        ConnectionLimits limits,
        long tokensPerSecond,
        boolean keyed,
        Map<String, OrganisationTerms> keys) {

    /**
     * Returns a service.
     *
     * @param name The name.
     * @return The service or empty if it is not configured.
     */
    public Optional<ServiceTerms> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
