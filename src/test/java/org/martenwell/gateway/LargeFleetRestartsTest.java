package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.version.ServiceVersion;

/** Guards against streams of a large fleet that are lost when its gateways are restarted. */
final class LargeFleetRestartsTest {

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    private static final List<String> DOMAINS = List.of("x", "y", "z");

    /** Several report intervals, in milliseconds. */
    private static final long REPORTED_MILLIS = 1_000;

    private final ReporterFleet fleet = new ReporterFleet(24, DOMAINS);

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testStreamsGoOnBehindGatewaysRestartedInARow() {
        start();
        Map<String, String> streams = beginAtAll();
        for (String each : List.copyOf(fleet.running())) {
            restart(Set.of(each));
            await(() -> fleet.connected(each));
        }
        assertAllAreFound(streams);
    }

    @Test
    void testStreamsGoOnBehindRelaysRestartedTogether() {
        start();
        Map<String, String> streams = beginAtAll();
        restart(Set.of(fleet.relayOf("x"), fleet.relayOf("y"), fleet.relayOf("z")));
        assertAllAreFound(streams);
    }

    @Test
    void testStreamsGoOnBehindARelayKilledWithTheGatewayThatBeganThem() {
        start();
        Map<String, String> streams = beginAtAll();
        String relay = fleet.relayOf("x");
        String other =
                fleet.running().stream()
                        .filter(each -> each.startsWith("x") && !each.equals(relay))
                        .findFirst()
                        .orElseThrow();
        restart(Set.of(relay, other));
        restart(Set.of(fleet.relayOf("y")));
        restart(Set.of(fleet.relayOf("z")));
        assertAllAreFound(streams);
    }

    /** Connects the fleet and lists two versions at all gateways. */
    private void start() {
        fleet.connect();
        fleet.running().forEach(each -> fleet.run(() -> list(each)));
        fleet.running().forEach(each -> await(() -> fleet.connected(each)));
    }

    private void restart(Set<String> gateways) {
        fleet.restart(gateways);
        gateways.forEach(each -> fleet.run(() -> list(each)));
    }

    private void list(String gateway) {
        List<DirectoryTarget> targets = new ArrayList<>();
        for (String each : List.of("v1", "v2")) {
            targets.add(ReporterFleet.ALL_TARGETS.get("t").withVersion(each));
        }
        fleet.core(gateway).streams().list(targets, fleet.now());
    }

    /** Begins a stream at each gateway and returns the gateways by attempt. */
    private Map<String, String> beginAtAll() {
        Map<String, String> streams = new LinkedHashMap<>();
        for (String each : fleet.running()) {
            streams.put("stream-of-" + each, each);
            fleet.run(
                    () ->
                            fleet.core(each)
                                    .streams()
                                    .began(
                                            "stream-of-" + each,
                                            ReporterFleet.ALL_TARGETS.get("t").withVersion("v1"),
                                            GatewayCores.route(400)));
        }
        sleep();
        return streams;
    }

    /** Checks that each stream is found at another gateway than its own, at the third try. */
    private void assertAllAreFound(Map<String, String> streams) {
        List<String> lost = new ArrayList<>();
        List<String> gateways = List.copyOf(fleet.running());
        for (String attempt : streams.keySet()) {
            int gateway = gateways.indexOf(streams.get(attempt));
            boolean found = false;
            for (int index = 1; index <= 3 && !found; index++) {
                found = find(gateways.get((gateway + index) % gateways.size()), attempt);
            }
            if (!found) {
                lost.add(attempt);
            }
        }
        assertThat(lost).as("of " + streams.size()).isEmpty();
    }

    private boolean find(String gateway, String attempt) {
        AtomicReference<StreamLookup> found = new AtomicReference<>();
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
                                            found.set(result);
                                            answered.countDown();
                                        }));
        try {
            assertThat(answered.await(5, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
        return found.get().stream().map(ResumedStream::version).equals(Optional.of(OLD));
    }

    private static void sleep() {
        try {
            Thread.sleep(REPORTED_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
    }
}
