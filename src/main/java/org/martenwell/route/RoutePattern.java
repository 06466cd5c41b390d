package org.martenwell.route;

import java.util.Optional;

/** Host and path prefix of a route in the form in which requests state them. */
public final class RoutePattern {

    private final String host;

    private final PathPrefix prefix;

    private RoutePattern(String host, PathPrefix prefix) {
        this.host = host;
        this.prefix = prefix;
    }

    /**
     * Creates the pattern of a route.
     *
     * @param host The host as it is configured, without a port.
     * @param pathPrefix The path prefix as it is configured.
     * @return The pattern, empty if no request can state such a host or path.
     */
    public static Optional<RoutePattern> of(String host, String pathPrefix) {
        return HostName.of(host)
                .flatMap(
                        name ->
                                PathPrefix.of(pathPrefix)
                                        .map(prefix -> new RoutePattern(name, prefix)));
    }

    /** {@return the host in lower case} */
    String host() {
        return host;
    }

    /** {@return the prefix of the paths} */
    PathPrefix prefix() {
        return prefix;
    }
}
