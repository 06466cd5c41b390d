package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.CallerRequest;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;

/**
 * Guards against truncated responses without framing that are taken for whole, since their end is
 * read after the entry of the crashed target was removed.
 */
final class RemovedTargetResponseTest {

    private final GatewayCore core =
            GatewayCores.of(
                    Eventloop.builder().withTimeProvider(() -> 1).withCurrentThread().build());

    private final List<Boolean> truncated = new ArrayList<>();

    @BeforeEach
    void start() {
        core.configure(GatewayCores.configuration(new EngineCapacity(4, 100_000, true)));
        core.targets().update(Map.of("t", target(false)), 1);
    }

    @Test
    void testResponseOfARemovedTargetThatCrashedIsTruncated() {
        TargetRun run = run();
        core.harmful().targetCrashed(run.target(), CrashSource.CONNECTION);
        core.targets().update(Map.of(), 1);
        end(run);
        assertThat(truncated).containsExactly(true);
    }

    @Test
    void testResponseOfARemovedTargetIsWhole() {
        TargetRun run = run();
        core.targets().update(Map.of(), 1);
        end(run);
        assertThat(truncated).containsExactly(false);
    }

    /** A target that drains stops listening before its last responses end. */
    @Test
    void testResponseOfADrainingTargetThatRefusesConnectionsIsWhole() {
        TargetRun run = run();
        core.targets().update(Map.of("t", target(true)), 1);
        core.harmful().targetCrashed(run.target(), CrashSource.CONNECTION);
        end(run);
        assertThat(truncated).containsExactly(false);
    }

    private TargetRun run() {
        return TargetRun.current(core.targets().find("t").orElseThrow());
    }

    private void end(TargetRun run) {
        CallerRequest request =
                new CallerRequest(
                        HttpMethod.GET,
                        "/",
                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                        Body.EMPTY,
                        1);
        RequestIdentity identity =
                new RequestIdentity(
                        core.fingerprints(),
                        request,
                        GatewayCores.route(400),
                        "",
                        Optional.empty());
        core.harmful().endedByClose(run, identity, truncated::add);
    }

    private static DirectoryTarget target(boolean draining) {
        return new DirectoryTarget(
                "t",
                OptionalLong.of(1),
                GatewayCores.SERVICE,
                IpAddress.of("127.0.0.1:1"),
                "x",
                4,
                draining);
    }
}
