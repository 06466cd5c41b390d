package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.route.Route;
import org.martenwell.route.RouteType;
import org.martenwell.route.WeightedService;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

/**
 * Guards against streams of a large fleet that can't be taken up where nobody knows their version.
 */
final class LargeFleetStreamsTest {

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    /** Longer than any stream lasts, in milliseconds. */
    private static final long LONG_MILLIS = 200_000;

    private final ReporterFleet fleet = new ReporterFleet(24, List.of("x", "y", "z"));

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testStreamIsKnownToAllGateways() {
        start();
        begin("x-0", "a");
        for (String each : fleet.running()) {
            await(() -> find(each, "a").equals(Optional.of(OLD)));
        }
    }

    @Test
    void testStreamIsKnownAfterItsGatewayAndItsRelayStopped() {
        start();
        String relay = fleet.relayOf("x");
        String gateway = other("x", relay);
        begin(gateway, "a");
        await(() -> find(fleet.relayOf("y"), "a").isPresent());
        fleet.stop(gateway);
        fleet.stop(relay);
        await(() -> find(other("x", relay), "a").equals(Optional.of(OLD)));
        await(() -> find(other("z", fleet.relayOf("z")), "a").equals(Optional.of(OLD)));
    }

    /** With one version no peer is notified, but the gateway that began the stream can be asked. */
    @Test
    void testStreamThatBeganBeforeTheSecondVersionIsKnownToAllGateways() {
        fleet.connect();
        fleet.run(() -> list("x-0", "v1"));
        begin("x-0", "a");
        fleet.running().forEach(each -> fleet.run(() -> list(each, "v1", "v2")));
        for (String each : fleet.running()) {
            await(() -> find(each, "a").equals(Optional.of(OLD)));
        }
    }

    /** The only versions of two services don't tell at which service the stream began. */
    @Test
    void testStreamOfASplitRouteIsKnownAfterItsGatewayStopped() {
        fleet.connect();
        fleet.running().forEach(each -> fleet.run(() -> list(each, "v1")));
        begin("x-0", "a", splitRoute());
        await(() -> find(fleet.relayOf("y"), "a").isPresent());
        fleet.stop("x-0");
        await(() -> find(other("x", "x-0"), "a").equals(Optional.of(OLD)));
    }

    /** Its relay and its other peers list a second version, at which the stream began. */
    @Test
    void testGatewayThatIsCutOffTakesNoRecentListForCurrent() throws IOException {
        String cutOff = other("x", fleet.relayOf("x"));
        fleet.connect();
        fleet.running().forEach(each -> fleet.run(() -> listForLong(each, OLD)));
        await(() -> findBehindList(cutOff).equals(Optional.of(OLD)));
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            fleet.isolate(cutOff, "127.0.0.1:" + silent.getLocalPort());
            fleet.running().stream()
                    .filter(each -> !each.equals(cutOff))
                    .forEach(each -> fleet.run(() -> list(each, "v1", "v2")));
            begin(other("y", fleet.relayOf("y")), "a", "v2", GatewayCores.route(400));
            assertThat(findBehindList(cutOff)).isEmpty();
        }
        fleet.connect();
        fleet.run(() -> list(cutOff, "v1", "v2"));
        await(() -> find(cutOff, "a").equals(Optional.of(new ServiceVersion("s", "v2"))));
    }

    /**
     * Guards against messages at which a gateway of an earlier build would close the connection.
     */
    @Test
    void testGatewayOfAnEarlierBuildGetsNoMessagesOnStreams() {
        String earlier = other("x", fleet.relayOf("x"));
        fleet.connect(earlier);
        fleet.running().forEach(each -> fleet.run(() -> list(each, "v1", "v2")));
        begin(other("y", fleet.relayOf("y")), "a");
        await(() -> find(fleet.relayOf("x"), "a").isPresent());
        begin(earlier, "b");
        await(() -> find(fleet.relayOf("y"), "b").isPresent());
        assertThat(find(earlier, "a")).isEmpty();
    }

    @Test
    void testUnknownStreamIsNotContinued() {
        start();
        assertThat(find(fleet.relayOf("x"), "unknown")).isEmpty();
        assertThat(find(other("y", fleet.relayOf("y")), "unknown")).isEmpty();
    }

    /** Connects the fleet and lists two versions at all gateways. */
    private void start() {
        fleet.connect();
        fleet.running().forEach(each -> fleet.run(() -> list(each, "v1", "v2")));
    }

    private void list(String gateway, String... versions) {
        List<DirectoryTarget> targets = new ArrayList<>();
        for (String each : versions) {
            targets.add(ReporterFleet.ALL_TARGETS.get("t").withVersion(each));
        }
        fleet.core(gateway).streams().list(targets, fleet.now());
    }

    private void begin(String gateway, String attempt) {
        begin(gateway, attempt, GatewayCores.route(400));
    }

    private void begin(String gateway, String attempt, Route route) {
        begin(gateway, attempt, "v1", route);
    }

    private void begin(String gateway, String attempt, String version, Route route) {
        fleet.run(
                () ->
                        fleet.core(gateway)
                                .streams()
                                .began(
                                        attempt,
                                        ReporterFleet.ALL_TARGETS.get("t").withVersion(version),
                                        route));
    }

    /** Takes a stream up where the list of the only version is recent. */
    private Optional<ServiceVersion> findBehindList(String gateway) {
        fleet.run(() -> listForLong(gateway, OLD));
        return find(gateway, "a");
    }

    /** Lists a version that is known to have been the only one for long. */
    private void listForLong(String gateway, ServiceVersion version) {
        fleet.core(gateway)
                .streams()
                .learn(new VersionHistory(LONG_MILLIS, List.of(new VersionSighting(version, 0))));
        list(gateway, version.version());
    }

    private static Route splitRoute() {
        return new Route(
                "r",
                "h",
                "/",
                RouteType.STREAMING,
                60_000,
                400,
                0,
                List.of(new WeightedService("s", 1), new WeightedService("t", 1)),
                2,
                false,
                true,
                0);
    }

    private String other(String domain, String except) {
        return fleet.running().stream()
                .filter(each -> each.startsWith(domain) && !each.equals(except))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the version of a stream that is taken up at a gateway. */
    private Optional<ServiceVersion> find(String gateway, String attempt) {
        AtomicReference<Optional<ResumedStream>> found = new AtomicReference<>();
        CountDownLatch answered = new CountDownLatch(1);
        fleet.run(
                () ->
                        fleet.core(gateway)
                                .streams()
                                .find(
                                        Optional.of(attempt),
                                        GatewayCores.route(400),
                                        4_000,
                                        result -> {
                                            found.set(result.stream());
                                            answered.countDown();
                                        }));
        try {
            assertThat(answered.await(5, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
        return found.get().map(ResumedStream::version);
    }
}
