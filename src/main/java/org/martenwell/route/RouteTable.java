package org.martenwell.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Lookup of routes by host and longest path prefix. */
public final class RouteTable {

    /** The routes by host in lower case, longest prefix first. */
    private final Map<String, List<Route>> routes = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param all The routes, in any order.
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
     * Returns the route of a request.
     *
     * @param host The host of the request, with or without a port, in any case.
     * @param path The path of the request.
     * @return The route with the longest matching prefix, empty if none matches.
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
