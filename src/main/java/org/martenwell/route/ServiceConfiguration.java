package org.martenwell.route;

import java.util.Optional;

/**
 * Configuration of a service.
 *
 * @param name The name of the service.
 * @param maxConnections The most connections that each target accepts.
 * @param engine The capacity of the model engines, empty for a plain service.
 * @param warmUp The limit on the requests to a target that warms up.
 */
public record ServiceConfiguration(
        String name, int maxConnections, Optional<EngineCapacity> engine, WarmUpLimit warmUp) {}
