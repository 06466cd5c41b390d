package org.martenwell.gateway;

import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.directory.GatewayMember;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.settings.GatewaySettings;

/**
 * Tests that the gateways of a large fleet receive each other's loads, even after a relay fails.
 */
final class LargeFleetReportsTest {

    /** More gateways than a mesh has. */
    private static final int SIZE = 18;

    private static final Map<String, DirectoryTarget> ALL_TARGETS =
            Map.of("t", target("t"), "u", target("u"), "v", target("v"));

    private static final List<String> DOMAINS = List.of("x", "y");

    private final EventLoopThread thread = EventLoopThread.start("test-reports");

    private final List<String> addresses = LoopbackPorts.free(SIZE);

    private final Map<String, GatewayMember> members = new LinkedHashMap<>();

    private final Map<String, PeerReporter> reporters = new LinkedHashMap<>();

    private final Map<String, GatewayCore> cores = new HashMap<>();

    @AfterEach
    void stop() {
        reporters.values().forEach(each -> thread.call(each::stop));
        thread.stop();
    }

    @Test
    void testLoadReachesAllGatewaysAlsoAfterARelayFails() {
        startAll();
        run(() -> load("x-0").sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> knownToAll(1));
        String relay = relayOf("y");
        run(() -> reporters.remove(relay).stop());
        run(() -> load("x-0").sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> knownToAll(2));
    }

    /** Guards against departures that only the peers of one relay learn of. */
    @Test
    void testDepartureReachesAllGateways() {
        startAll();
        run(() -> load("x-0").sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> knownToAll(1));
        run(() -> depart("x-0"));
        await(() -> othersKnowDeparture("x-0"));
    }

    /** Guards against departures that a gateway misses while it is cut off from its peers. */
    @Test
    void testGatewaysThatConnectLearnOfEarlierDepartures() {
        startUnconnected();
        run(
                () -> {
                    depart("x-0");
                    cores.get("x-0").targets().listingNotices().takeNew();
                });
        connectAll();
        await(() -> othersKnowDeparture("x-0"));
    }

    private void depart(String gateway) {
        Map<String, DirectoryTarget> left = new HashMap<>(ALL_TARGETS);
        left.remove("u");
        cores.get(gateway).targets().update(left, 0);
    }

    private boolean othersKnowDeparture(String sender) {
        AtomicBoolean known = new AtomicBoolean();
        run(
                () ->
                        known.set(
                                cores.keySet().stream()
                                        .filter(name -> !name.equals(sender))
                                        .map(name -> cores.get(name).targets())
                                        .allMatch(LargeFleetReportsTest::excludesDeparted)));
        return known.get();
    }

    private static boolean excludesDeparted(TargetTable table) {
        return table.available("s", List.of(), 0).size() == ALL_TARGETS.size() - 1;
    }

    private void startAll() {
        startUnconnected();
        connectAll();
    }

    private void connectAll() {
        run(() -> reporters.values().forEach(each -> each.members(members)));
    }

    private void startUnconnected() {
        for (int index = 0; index < SIZE; index++) {
            String domain = DOMAINS.get(index % DOMAINS.size());
            String name = domain + "-" + index;
            members.put(name, new GatewayMember(name, domain, addresses.get(index), 1));
        }
        members.values().forEach(this::start);
    }

    private void start(GatewayMember member) {
        run(
                () -> {
                    GatewaySettings settings =
                            GatewayCores.settings(
                                    member.name(), member.failureDomain(), member.peerAddress());
                    GatewayLog log = new GatewayLog(thread.loop());
                    GatewayCore core =
                            new GatewayCore(thread.loop(), null, settings, new Random(1), log);
                    core.targets().update(ALL_TARGETS, 0);
                    PeerReporter reporter =
                            new PeerReporter(
                                    thread.loop(), settings, core, new Random(member.hashCode()));
                    reporter.directory(new NoDirectory());
                    cores.put(member.name(), core);
                    reporters.put(member.name(), reporter);
                });
        thread.call(reporters.get(member.name())::start);
    }

    private static DirectoryTarget target(String id) {
        return new DirectoryTarget(
                id, OptionalLong.of(1), "s", IpAddress.of("127.0.0.1:1"), "x", 10, false);
    }

    private TargetLoad load(String name) {
        return cores.get(name).targets().find("t").orElseThrow().load();
    }

    private String relayOf(String domain) {
        ReportTopology topology = new ReportTopology("none", domain);
        topology.members(members.values());
        return topology.relay(0);
    }

    private boolean knownToAll(int requests) {
        AtomicBoolean known = new AtomicBoolean();
        run(
                () ->
                        known.set(
                                reporters.keySet().stream()
                                        .allMatch(name -> requestsAt(name) == requests)));
        return known.get();
    }

    private int requestsAt(String name) {
        return load(name).totalLoad(thread.loop().currentTimeMillis()).requests();
    }

    private void run(Runnable action) {
        thread.call(
                () -> {
                    action.run();
                    return Promise.complete();
                });
    }

    /** A directory whose methods do nothing. */
    private static final class NoDirectory implements FleetDirectory {

        @Override
        public Promise<Void> start() {
            return Promise.complete();
        }

        @Override
        public Promise<Void> stop() {
            return Promise.complete();
        }

        @Override
        public void applyForwardedConfiguration(String document, String peer) {}

        @Override
        public long answerAgeMillis() {
            return 0;
        }

        @Override
        public void refresh() {}

        @Override
        public void refreshMembers() {}

        @Override
        public void removeMember(String name) {}

        @Override
        public void quarantine(QuarantinedRequest request) {}

        @Override
        public void release(Fingerprint fingerprint) {}

        @Override
        public void leave() {}
    }
}
