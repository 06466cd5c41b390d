package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.Optional;
import java.util.Random;
import org.martenwell.settings.GatewaySettings;

/** Makes cores of gateways for tests that need no connections. */
final class GatewayCores {

    private GatewayCores() {}

    /** Makes a core that knows no configuration and no targets. */
    static GatewayCore of(NioReactor loop) {
        return new GatewayCore(loop, null, settings(), new Random(1), new GatewayLog(loop));
    }

    private static GatewaySettings settings() {
        return new GatewaySettings(
                "self",
                "x",
                "none",
                "127.0.0.1:1",
                "127.0.0.1:1",
                "127.0.0.1:1",
                "127.0.0.1:1",
                "a key of at least thirty-two characters",
                Optional.empty(),
                Optional.empty(),
                1,
                1,
                100,
                10,
                4);
    }
}
