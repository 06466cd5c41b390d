package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import org.martenwell.settings.GatewaySettings;

/** Factory of gateways that offload requests to a gateway that a test chooses. */
public final class OffloadingGateways {

    private OffloadingGateways() {}

    /** Creates a gateway that offloads all requests to a chosen gateway, or none without one. */
    public static GatewayDaemon create(
            NioReactor reactor,
            GatewaySettings settings,
            Random random,
            Supplier<Optional<String>> chosen) {
        return new GatewayDaemon(reactor, settings, random, core -> targets(chosen));
    }

    private static OffloadTargets targets(Supplier<Optional<String>> chosen) {
        return new OffloadTargets() {
            @Override
            public Optional<String> choose(double workMillis, long now) {
                return chosen.get();
            }

            @Override
            public void rejected(String peer, long now) {}

            @Override
            public void failed(String peer, long now) {}
        };
    }
}
