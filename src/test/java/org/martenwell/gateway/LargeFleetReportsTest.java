package org.martenwell.gateway;

import static org.martenwell.service.Conditions.await;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;

/**
 * Tests that the gateways of a large fleet receive each other's loads, even after a relay fails.
 */
final class LargeFleetReportsTest {

    /** More gateways than a mesh has. */
    private static final int SIZE = 18;

    private final ReporterFleet fleet = new ReporterFleet(SIZE, List.of("x", "y"));

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testLoadReachesAllGatewaysAlsoAfterARelayFails() {
        fleet.connect();
        fleet.run(() -> load("x-0").sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> knownToAll(1));
        fleet.stop(fleet.relayOf("y"));
        fleet.run(() -> load("x-0").sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> knownToAll(2));
    }

    /** Guards against departures that only the peers of one relay learn of. */
    @Test
    void testDepartureReachesAllGateways() {
        fleet.connect();
        fleet.run(() -> load("x-0").sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> knownToAll(1));
        fleet.run(() -> depart("x-0"));
        await(() -> othersKnowDeparture("x-0"));
    }

    /** Guards against departures that a gateway misses while it is cut off from its peers. */
    @Test
    void testGatewaysThatConnectLearnOfEarlierDepartures() {
        fleet.run(
                () -> {
                    depart("x-0");
                    fleet.core("x-0").targets().listingNotices().takeNew();
                });
        fleet.connect();
        await(() -> othersKnowDeparture("x-0"));
    }

    private void depart(String gateway) {
        Map<String, DirectoryTarget> left = new HashMap<>(ReporterFleet.ALL_TARGETS);
        left.remove("u");
        fleet.core(gateway).targets().update(left, 0);
    }

    private boolean othersKnowDeparture(String sender) {
        AtomicBoolean known = new AtomicBoolean();
        fleet.run(
                () ->
                        known.set(
                                fleet.running().stream()
                                        .filter(name -> !name.equals(sender))
                                        .map(name -> fleet.core(name).targets())
                                        .allMatch(LargeFleetReportsTest::excludesDeparted)));
        return known.get();
    }

    private static boolean excludesDeparted(TargetTable table) {
        return table.available(TargetSelector.of("s"), List.of(), 0).size()
                == ReporterFleet.ALL_TARGETS.size() - 1;
    }

    private TargetLoad load(String name) {
        return fleet.core(name).targets().find("t").orElseThrow().load();
    }

    private boolean knownToAll(int requests) {
        AtomicBoolean known = new AtomicBoolean();
        fleet.run(
                () ->
                        known.set(
                                fleet.running().stream()
                                        .allMatch(name -> requestsAt(name) == requests)));
        return known.get();
    }

    private int requestsAt(String name) {
        return load(name).totalLoad(fleet.now()).requests();
    }
}
