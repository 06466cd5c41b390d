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
    private final Map<String, List<Entry>> routes = new HashMap<>();

    private record Entry(PathPrefix prefix, Route route) {}

    /**
     * Creates a table.
     *
     * @param all The routes, in any order. One whose host or prefix no request can state matches
     *     nothing.
     */
    public RouteTable(List<Route> all) {
        for (Route each : all) {
            RoutePattern.of(each.host(), each.pathPrefix())
                    .ifPresent(
                            pattern ->
                                    routes.computeIfAbsent(
                                                    pattern.host(), host -> new ArrayList<>())
                                            .add(new Entry(pattern.prefix(), each)));
        }
        for (List<Entry> each : routes.values()) {
            each.sort(Comparator.comparingInt(entry -> -entry.prefix().length()));
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
                .filter(entry -> entry.prefix().begins(path))
                .map(Entry::route)
                .findFirst();
    }
}
