package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.martenwell.exchange.ConnectionLimits;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.Route;
import org.martenwell.route.RouteType;
import org.martenwell.route.ServiceConfiguration;
import org.martenwell.route.WarmUpLimit;
import org.martenwell.route.WeightedService;
import org.martenwell.settings.GatewayFeature;
import org.martenwell.settings.GatewaySettings;

/** Factory of gateway cores and configurations for tests without connections. */
final class GatewayCores {

    /** The name of the only service. */
    static final String SERVICE = "s";

    private GatewayCores() {}

    /** Creates a core without a configuration, targets and optional features. */
    static GatewayCore of(NioReactor loop) {
        return of(loop, Set.of());
    }

    /** Creates a core with optional features, without a configuration and without targets. */
    static GatewayCore of(NioReactor loop, Set<GatewayFeature> features) {
        return new GatewayCore(
                loop,
                null,
                settings("self", "x", "127.0.0.1:1", features),
                new Random(1),
                new GatewayLog(loop));
    }

    /** Creates a configuration with one engine service, no routes and no promised capacity. */
    static GatewayConfiguration configuration(EngineCapacity engine) {
        return configuration(engine, 0);
    }

    /** Creates a configuration with one engine service, no routes and a promised capacity. */
    static GatewayConfiguration configuration(EngineCapacity engine, long tokensPerSecond) {
        return new GatewayConfiguration(
                1,
                List.of(),
                Map.of(
                        SERVICE,
                        new ServiceConfiguration(
                                SERVICE, 10, Optional.of(engine), WarmUpLimit.NONE)),
                ConnectionLimits.DEFAULTS,
                tokensPerSecond,
                false,
                Map.of(),
                List.of());
    }

    /** Creates a streaming route to the service. */
    static Route route(long objectiveMillis) {
        return new Route(
                "r",
                "h",
                "/",
                RouteType.STREAMING,
                60_000,
                objectiveMillis,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false,
                true,
                0);
    }

    /** Creates gateway settings with unused addresses. */
    static GatewaySettings settings(String name, String failureDomain, String peerAddress) {
        return settings(name, failureDomain, peerAddress, Set.of());
    }

    private static GatewaySettings settings(
            String name, String failureDomain, String peerAddress, Set<GatewayFeature> features) {
        return new GatewaySettings(
                name,
                failureDomain,
                "none",
                "127.0.0.1:1",
                "127.0.0.1:1",
                peerAddress,
                "127.0.0.1:1",
                "a key of at least thirty-two characters",
                Optional.empty(),
                Optional.empty(),
                1,
                1,
                100,
                10,
                4,
                Optional.of(features));
    }
}
