package org.martenwell.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
public final class RouteTable {

    /** The routes by host, the longest prefix first. */
    private final Map<String, List<Route>> routes = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param all All routes.
     */
    public RouteTable(List<Route> all) {
        for (Route each : all) {
            routes.computeIfAbsent(each.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(each);
        }
        for (List<Route> each : routes.values()) {
            each.sort(Comparator.comparingInt(route -> -route.pathPrefix().length()));
        }
    }

    /**
     * Finds a route.
     *
     * @param host The host as the caller named it, with or without a port.
     * @param path The path.
     * @return The route or empty if there is none.
     */
    public Optional<Route> find(String host, String path) {
        String name = host.toLowerCase(Locale.ROOT);
        int port = name.lastIndexOf(':');
        if (port >= 0 && name.indexOf(']', port) < 0) {
            name = name.substring(0, port);
        }
        return routes.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }
}
