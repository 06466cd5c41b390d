package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

/** Guards against gateways that are cut off together and take an old list for a current one. */
final class CutOffGatewaysTest {

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    /** Longer than any stream lasts, in milliseconds. */
    private static final long LONG_MILLIS = 200_000;

    /** More than the age of a list that is taken for current, in milliseconds. */
    private static final long OLD_LIST_MILLIS = 5_000;

    private static final long DEADLINE_MILLIS = 4_000;

    private final ReporterFleet fleet = new ReporterFleet(3, List.of("x"));

    /** Longer than a gateway counts as live behind its last report, in milliseconds. */
    private static final long NOT_LIVE_MILLIS = 2_500;

    private static final int SEARCHES = 4;

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testOldListIsNotTakenWhileAGatewayIsCutOff() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fleet.cutOff("x-2", "127.0.0.1:" + silent.getLocalPort());
            for (int search = 0; search < SEARCHES; search++) {
                assertThat(find()).isEmpty();
            }
        }
    }

    @Test
    void testOldListIsNotTakenByAGatewayThatDoesNotKnowItsFleet() {
        assertThat(find()).isEmpty();
    }

    @Test
    void testOldListIsTakenWhileAllGatewaysReport() {
        fleet.connect();
        await(() -> find().equals(Optional.of(OLD)));
    }

    @Test
    void testOldListIsTakenBehindTheEndOfAGateway() throws InterruptedException {
        fleet.connect();
        await(() -> find().equals(Optional.of(OLD)));
        fleet.stop("x-2");
        Thread.sleep(NOT_LIVE_MILLIS);
        await(() -> find().equals(Optional.of(OLD)));
    }

    private Optional<ServiceVersion> find() {
        CompletableFuture<StreamLookup> result = new CompletableFuture<>();
        fleet.run(
                () -> {
                    StreamVersions streams = fleet.core("x-0").streams();
                    streams.learn(
                            new VersionHistory(LONG_MILLIS, List.of(new VersionSighting(OLD, 0))));
                    streams.list(
                            List.of(ReporterFleet.ALL_TARGETS.get("t").withVersion("v1")),
                            fleet.now() - OLD_LIST_MILLIS);
                    streams.find(
                            Optional.of("a"),
                            GatewayCores.route(400),
                            DEADLINE_MILLIS,
                            result::complete);
                });
        return result.orTimeout(DEADLINE_MILLIS, TimeUnit.MILLISECONDS).join().stream()
                .map(ResumedStream::version);
    }
}
