package org.martenwell.measure;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Contract;
import org.martenwell.configuration.FleetConfiguration;
import org.martenwell.configuration.FleetConfigurationReader;
import org.martenwell.configuration.Model;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Policy;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.json.Json;
import org.martenwell.member.CoordinatorAssignment;
import org.martenwell.member.CoordinatorCandidate;
import org.martenwell.member.Heartbeat;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.MessageReader;
import org.martenwell.peer.MessageWriter;
import org.martenwell.peer.StreamOriginDenial;
import org.martenwell.peer.StreamOriginNotice;
import org.martenwell.schedule.Demand;
import org.martenwell.schedule.GrantListener;
import org.martenwell.schedule.Holding;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.schedule.ServiceCounters;
import org.martenwell.schedule.ServiceEntry;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotCoordinator;
import org.martenwell.schedule.SlotGrant;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/** Measures message sizes and processing times at several fleet sizes, for docs/CAPACITY.md. */
final class SlopeMeasurement {

    private static final int REPETITIONS = 7;
    private static final int[] ORGANISATIONS = {10, 100, 330};
    private static final int[] STREAMS = {1, 10, 100};
    private static final int[] MEMBERS = {9, 32, 128, 380};
    private static final int[] COORDINATED_TARGETS = {1, 8, 26};
    private static final int[] TARGETS = {26, 1_000, 10_000};

    private final List<Slope> slopes = new ArrayList<>();

    List<Slope> measure() {
        for (int count : ORGANISATIONS) {
            measureMessages(count);
            measureCounters(count);
            measureConfiguration(count);
        }
        for (int count : STREAMS) {
            measureStreams(count);
        }
        for (int coordinated : COORDINATED_TARGETS) {
            for (int backlogged : new int[] {1, 10, 33}) {
                measureDecisions(coordinated, backlogged);
            }
        }
        for (int members : MEMBERS) {
            measureAssignments(members, 1_000);
        }
        for (int targets : TARGETS) {
            measureAssignments(380, targets);
        }
        return slopes;
    }

    /** Measures message sizes and times once the connection's dictionary contains all names. */
    private void measureMessages(int organisations) {
        measureMessage("service report", organisations, serviceReport(organisations, 1));
        List<Demand> demands = new ArrayList<>();
        List<Holding> holdings = new ArrayList<>();
        for (int index = 0; index < organisations / 10; index++) {
            demands.add(new Demand(Pool.ofModel("model"), organisationName(index), 8, 4_000));
            holdings.add(new Holding("target-1", 1, organisationName(index), 70_000, 69_000, 9, 0));
        }
        measureMessage(
                "slot report",
                organisations,
                new SlotReport(
                        "router-1",
                        1L << 40,
                        1L << 40,
                        70_000,
                        false,
                        demands,
                        holdings,
                        List.of()));
        measureMessage(
                "slot grants",
                organisations,
                new SlotGrants(
                        "router-1",
                        1L << 40,
                        1L << 40,
                        false,
                        List.of(new SlotGrant("target-1", 1, organisationName(1), 70_000, false))));
        measureMessage(
                "heartbeat",
                organisations,
                new Heartbeat("router-1", 1L << 40, 70_000, "10.1.2.3:7003", "domain", true, 900));
    }

    /** Measures the notices of new streams of a service that has several versions. */
    private void measureStreams(int count) {
        ServiceVersion version = new ServiceVersion("service", "v1.1");
        List<StreamOrigin> origins =
                IntStream.range(0, count)
                        .mapToObj(each -> new StreamOrigin(StreamOrigin.key("a-" + each), version))
                        .toList();
        measureMessage(
                "stream origin notice",
                count + " streams",
                new StreamOriginNotice("gateway-1", "", origins));
        measureMessage(
                "stream origin denial",
                count + " streams",
                new StreamOriginDenial(
                        "gateway-1", origins.stream().map(StreamOrigin::attempt).toList()));
    }

    private void measureMessage(String messageName, int organisations, PeerMessage message) {
        measureMessage(messageName, organisations + " organisations", message);
    }

    private void measureMessage(String messageName, String size, PeerMessage message) {
        MessageWriter writer = new MessageWriter();
        MessageReader reader = new MessageReader();
        reader.read(writer.write(message));
        byte[] encoded = writer.write(message);
        add(messageName + " size", size, encoded.length, "bytes");
        time(
                messageName + " written and read",
                size,
                2_000,
                () -> reader.read(writer.write(message)));
    }

    private void measureCounters(int organisations) {
        ServiceCounters counters = new ServiceCounters("router-0", 1);
        long[] sequence = {1};
        time(
                "service report taken in",
                organisations + " organisations",
                500,
                () -> {
                    sequence[0]++;
                    counters.receive(serviceReport(organisations, sequence[0]));
                });
    }

    private void measureConfiguration(int organisations) {
        FleetConfiguration configuration = configuration(organisations, organisations * 10);
        String text = Json.print(configuration);
        String size = organisations + " organisations, " + organisations * 10 + " targets";
        add("configuration document", size, text.getBytes(StandardCharsets.UTF_8).length, "bytes");
        byte[] organisation = Json.write(configuration.organisations().get(0));
        add("configuration of one organisation", size, organisation.length, "bytes");
        time(
                "configuration checked and put in force",
                size,
                3,
                () ->
                        ActiveConfiguration.of(
                                1, FleetConfigurationReader.INSTANCE.read("fleet", text)));
    }

    /**
     * Measures the decisions of a coordinator: a released slot goes to the backlogged organisation
     * with the least service.
     */
    private void measureDecisions(int coordinated, int backlogged) {
        SchedulingParameters parameters = SchedulingParameters.DEFAULTS;
        ServiceCounters counters = new ServiceCounters("router-0", 1);
        SlotCoordinator coordinator =
                new SlotCoordinator("router-0", 1, parameters, counters, GrantListener.NO_OP);
        Set<String> members = new HashSet<>(Set.of("router-0", "router-1"));
        List<Target> targets = targets(coordinated, 1);
        coordinator.assign(targets, members, 0);
        long[] sequence = {1};
        List<Demand> demands = new ArrayList<>();
        for (int index = 0; index < backlogged; index++) {
            demands.add(new Demand(Pool.ofModel("model-0"), organisationName(index), 8, 1_000));
        }
        coordinator.receive(
                new SlotReport("router-1", 1, 1, sequence[0], true, demands, List.of(), List.of()),
                10_000);
        Map<String, Long> totals = new HashMap<>();
        recordTotals(totals, coordinator.allocate(10_000));
        time(
                "keeper takes a report, grants a slot",
                coordinated + " targets kept, " + backlogged + " backlogged",
                500,
                () -> {
                    sequence[0]++;
                    Map.Entry<String, Long> granted = totals.entrySet().iterator().next();
                    List<Holding> released = new ArrayList<>();
                    String[] parts = granted.getKey().split("/", -1);
                    released.add(
                            new Holding(
                                    parts[0],
                                    Long.parseLong(parts[1]),
                                    parts[2],
                                    granted.getValue(),
                                    granted.getValue(),
                                    0,
                                    0));
                    coordinator.receive(
                            new SlotReport(
                                    "router-1",
                                    1,
                                    1,
                                    sequence[0],
                                    false,
                                    demands,
                                    released,
                                    List.of()),
                            10_000 + sequence[0]);
                    recordTotals(totals, coordinator.allocate(10_000 + sequence[0]));
                });
    }

    private static void recordTotals(Map<String, Long> totals, Map<String, SlotGrants> messages) {
        for (SlotGrants message : messages.values()) {
            for (SlotGrant grant : message.grants()) {
                totals.put(
                        grant.target() + "/" + grant.term() + "/" + grant.slotClass(),
                        grant.total());
            }
        }
    }

    private void measureAssignments(int members, int targetCount) {
        List<CoordinatorCandidate> candidates =
                IntStream.range(0, members)
                        .mapToObj(
                                index ->
                                        new CoordinatorCandidate(
                                                "router-" + index, 1, domain(index)))
                        .toList();
        List<Target> targets = targets(targetCount, 33);
        time(
                "keepers assigned",
                members + " members, " + targetCount + " targets",
                2,
                () -> CoordinatorAssignment.INSTANCE.assign(targets, candidates));
    }

    private static ServiceReport serviceReport(int organisations, long sequence) {
        List<ServiceEntry> entries = new ArrayList<>();
        for (int index = 0; index < organisations / 10; index++) {
            entries.add(new ServiceEntry(organisationName(index), 1e7 + sequence, 1e6, 40));
        }
        return new ServiceReport("router-1", 1L << 40, sequence, 1e7, entries);
    }

    private static FleetConfiguration configuration(int organisations, int targetCount) {
        return new FleetConfiguration(
                IntStream.range(0, 33).mapToObj(i -> new Model("model-" + i, 1)).toList(),
                List.of(),
                List.of(new Contract("standard", "everyone", 1, 100, 100, 100, 100, 30_000)),
                List.of(new Policy("everyone", "allow(5)")),
                IntStream.range(0, organisations)
                        .mapToObj(
                                i ->
                                        new Organisation(
                                                organisationName(i),
                                                "standard",
                                                Map.of("size", "small"),
                                                List.of(String.format("%064x", i))))
                        .toList(),
                targets(targetCount, 33),
                List.of());
    }

    private static List<Target> targets(int count, int models) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new Target(
                                        "target-" + i,
                                        "10.0.0.1:8000",
                                        domain(i),
                                        PoolKind.MODEL,
                                        List.of("model-" + i % models),
                                        16,
                                        true))
                .collect(Collectors.toList());
    }

    private static String domain(int index) {
        return "domain-" + index % 23;
    }

    private static String organisationName(int index) {
        return "organisation-" + index;
    }

    private void add(String what, String size, double value, String unit) {
        slopes.add(new Slope(what, size, value, value, value, unit));
    }

    private void time(String what, String size, int times, Runnable action) {
        double[] micros = new double[REPETITIONS];
        for (int repetition = -2; repetition < REPETITIONS; repetition++) {
            long start = System.nanoTime();
            for (int index = 0; index < times; index++) {
                action.run();
            }
            if (repetition >= 0) {
                micros[repetition] = (System.nanoTime() - start) / 1_000.0 / times;
            }
        }
        Arrays.sort(micros);
        slopes.add(
                new Slope(
                        what,
                        size,
                        micros[REPETITIONS / 2],
                        micros[0],
                        micros[REPETITIONS - 1],
                        "microseconds"));
    }
}
