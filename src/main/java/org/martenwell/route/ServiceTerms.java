package org.martenwell.route;

import java.util.Optional;

/**
 * A service.
 *
 * @param name The name.
 * @param maxConnections How many connections a target takes from all callers.
 * @param engine What its model engines hold, or empty for a plain service.
 */
public record ServiceTerms(String name, int maxConnections, Optional<EngineTerms> engine) {}
