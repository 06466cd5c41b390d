package org.martenwell.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.martenwell.simulation.SimulatedEvents;

/**
 * Discrete-event simulation of a fleet of gateways that share {@link Quarantine} updates. Harmful
 * requests crash each target that runs them and recur; harmless ones recur too, as status queries
 * do. Twice, some of the targets crash at once for an unrelated reason. Updates between gateways
 * are delayed or lost, and one gateway is partitioned for a while.
 */
final class QuarantineSimulation {

    /** The simulated time, in milliseconds. */
    private static final long END_MILLIS = 20_000;

    /** The mean duration of a harmless request, in milliseconds. */
    private static final int RUN_MILLIS = 300;

    /** The time from the start of a harmful request to the crash of its target, in milliseconds. */
    private static final int CRASH_DELAY_MILLIS = 80;

    /** The time that a target takes to restart, in milliseconds. */
    private static final int RESTART_MILLIS = 1_500;

    /** The interval at which each harmful request arrives, in milliseconds. */
    private static final int HARMFUL_INTERVAL_MILLIS = 400;

    /** The most attempts for a request whose target crashes. */
    private static final int MAX_ATTEMPTS = 2;

    /** The number of distinct harmless requests; those with low numbers arrive most often. */
    private static final int HARMLESS_REQUESTS = 3_000;

    /** The share of reports that are lost. */
    private static final double REPORT_LOSS = 0.05;

    /** The times of crashes that no request causes, in milliseconds. */
    private static final List<Long> UNRELATED_CRASHES_MILLIS = List.of(4_000L, 9_000L);

    /** The share of targets that crash at each of these times. */
    private static final double UNRELATED_CRASH_SHARE = 0.15;

    /** The start of the partition of one gateway, in milliseconds. */
    private static final long PARTITION_START_MILLIS = 5_000;

    /** The end of the partition, in milliseconds. */
    private static final long PARTITION_END_MILLIS = 8_000;

    /** The size of the fleet and the load on it. */
    record Load(int gateways, int targets, int harmful, int requestsPerSecond, long seed) {

        /** {@return the mean interval between reports of a gateway, in milliseconds} */
        int reportMillis() {
            return gateways > 20 ? 250 : 40;
        }

        /** {@return the longest delay of a report, in milliseconds} */
        int delayMillis() {
            return gateways > 20 ? 300 : 100;
        }
    }

    /**
     * The result of a simulation. Crashes caused through the partitioned gateway don't count.
     *
     * @param mostCrashes The most crashes caused by a single harmful request.
     * @param allCrashes The crashes caused by all harmful requests.
     * @param lateCrashes The most crashes that a request caused more than 3 s after its third.
     * @param refused The number of harmless requests refused.
     * @param harmless The number of harmless requests that arrived.
     * @param longestRefusalMillis The longest time for which a gateway refused a harmless request,
     *     in milliseconds.
     * @param harmlessQuarantined The number of harmless requests that are quarantined at the end.
     */
    record Outcome(
            int mostCrashes,
            int allCrashes,
            int lateCrashes,
            int refused,
            int harmless,
            long longestRefusalMillis,
            int harmlessQuarantined) {}

    /** An attempt that runs on a target. */
    private record Running(int request, int gateway, int attempt) {}

    private static final class Target {
        private int incarnation;
        private boolean up = true;
        private final Set<Running> running = new HashSet<>();
    }

    private final Load load;

    private final Random random;

    private final SimulatedEvents events = new SimulatedEvents();

    private final List<Quarantine> gateways = new ArrayList<>();

    private final List<Target> targets = new ArrayList<>();

    private final Map<Integer, List<Long>> crashesByRequest = new HashMap<>();

    private final Map<String, Long> refusedSince = new HashMap<>();

    private int refused;

    private int harmless;

    private long longestRefusalMillis;

    private QuarantineSimulation(Load load) {
        this.load = load;
        this.random = new Random(load.seed());
    }

    static Outcome run(Load load) {
        return new QuarantineSimulation(load).run();
    }

    private Outcome run() {
        for (int gateway = 0; gateway < load.gateways(); gateway++) {
            gateways.add(new Quarantine());
            scheduleReport(gateway);
        }
        for (int target = 0; target < load.targets(); target++) {
            targets.add(new Target());
        }
        for (int request = 1; request <= load.harmful(); request++) {
            scheduleHarmful(-request, random.nextInt(3_000));
        }
        UNRELATED_CRASHES_MILLIS.forEach(each -> events.schedule(each, this::crashUnrelated));
        events.schedule(PARTITION_END_MILLIS, this::sendSnapshotToPartitioned);
        scheduleArrivals();
        events.runUntil(END_MILLIS);
        return outcome();
    }

    private Outcome outcome() {
        int most = 0;
        int all = 0;
        int late = 0;
        for (List<Long> each : crashesByRequest.values()) {
            most = Math.max(most, each.size());
            all += each.size();
            long third = each.size() > 2 ? each.get(2) : END_MILLIS;
            late = Math.max(late, (int) each.stream().filter(time -> time > third + 3_000).count());
        }
        int quarantined = 0;
        for (int request = 0; request < HARMLESS_REQUESTS; request++) {
            Fingerprint fingerprint = fingerprint(request);
            boolean quarantinedAnywhere =
                    gateways.stream()
                            .anyMatch(
                                    each -> each.state(fingerprint) == QuarantineState.QUARANTINED);
            quarantined += quarantinedAnywhere ? 1 : 0;
        }
        return new Outcome(most, all, late, refused, harmless, longestRefusalMillis, quarantined);
    }

    private void scheduleArrivals() {
        events.schedule(
                events.nowMillis() + 1,
                () -> {
                    double perMillisecond = load.requestsPerSecond() / 1_000.0;
                    int count =
                            (int) perMillisecond
                                    + (random.nextDouble() < perMillisecond % 1 ? 1 : 0);
                    for (int each = 0; each < count; each++) {
                        harmless++;
                        int request = (int) Math.pow(HARMLESS_REQUESTS, random.nextDouble()) - 1;
                        send(request, random.nextInt(load.gateways()), 1);
                    }
                    scheduleArrivals();
                });
    }

    private void scheduleHarmful(int request, int millis) {
        events.schedule(
                events.nowMillis() + millis,
                () -> {
                    send(request, random.nextInt(load.gateways()), 1);
                    scheduleHarmful(request, HARMFUL_INTERVAL_MILLIS);
                });
    }

    /** Sends a request to a random target, unless its gateway refuses it or the target is down. */
    private void send(int request, int gateway, int attempt) {
        boolean sent = gateways.get(gateway).state(fingerprint(request)) == QuarantineState.FREE;
        if (request >= 0) {
            countRefused(request, gateway, sent);
        }
        Target target = targets.get(random.nextInt(targets.size()));
        if (!sent || !target.up) {
            return;
        }
        Running running = new Running(request, gateway, attempt);
        target.running.add(running);
        int incarnation = target.incarnation;
        if (request < 0) {
            boolean partitioned =
                    gateway == 0
                            && events.nowMillis() >= PARTITION_START_MILLIS
                            && events.nowMillis() < PARTITION_END_MILLIS;
            events.schedule(
                    events.nowMillis() + CRASH_DELAY_MILLIS,
                    () -> crashByRequest(request, target, incarnation, partitioned));
        } else {
            events.schedule(
                    events.nowMillis() + 1 + random.nextInt(2 * RUN_MILLIS),
                    () -> completed(running, target, incarnation));
        }
    }

    private void countRefused(int request, int gateway, boolean sent) {
        String key = gateway + "/" + request;
        if (sent) {
            refusedSince.remove(key);
        } else {
            refused++;
            long since = refusedSince.computeIfAbsent(key, each -> events.nowMillis());
            longestRefusalMillis = Math.max(longestRefusalMillis, events.nowMillis() - since);
        }
    }

    private void completed(Running running, Target target, int incarnation) {
        if (target.incarnation == incarnation && target.up && target.running.remove(running)) {
            gateways.get(running.gateway())
                    .clear(fingerprint(running.request()), events.nowMillis());
        }
    }

    /** Crashes a target; the crash isn't counted if the gateway was partitioned. */
    private void crashByRequest(int request, Target target, int incarnation, boolean partitioned) {
        if (target.incarnation == incarnation && target.up) {
            if (!partitioned) {
                crashesByRequest
                        .computeIfAbsent(request, each -> new ArrayList<>())
                        .add(events.nowMillis());
            }
            crash(target);
        }
    }

    private void crashUnrelated() {
        for (Target each : targets) {
            if (each.up && random.nextDouble() < UNRELATED_CRASH_SHARE) {
                crash(each);
            }
        }
    }

    private void crash(Target target) {
        String name = targets.indexOf(target) + "@" + target.incarnation;
        target.up = false;
        List<Running> interrupted = List.copyOf(target.running);
        target.running.clear();
        events.schedule(
                events.nowMillis() + RESTART_MILLIS,
                () -> {
                    target.incarnation++;
                    target.up = true;
                });
        for (Running each : interrupted) {
            if (gateways.get(each.gateway())
                    .recordCrash(fingerprint(each.request()), name, events.nowMillis())) {
                events.schedule(events.nowMillis() + 5, () -> report(each.gateway()));
            }
        }
        for (Running each : interrupted) {
            if (each.attempt() < MAX_ATTEMPTS) {
                events.schedule(
                        events.nowMillis() + 3,
                        () -> send(each.request(), each.gateway(), each.attempt() + 1));
            }
        }
    }

    private void scheduleReport(int gateway) {
        events.schedule(
                events.nowMillis() + 1 + random.nextInt(2 * load.reportMillis()),
                () -> {
                    report(gateway);
                    scheduleReport(gateway);
                });
    }

    private void report(int gateway) {
        gateways.get(gateway).decide(events.nowMillis());
        List<QuarantineUpdate> updates =
                new ArrayList<>(gateways.get(gateway).takeUpdates(events.nowMillis()));
        if (random.nextDouble() * load.gateways() * 1_000 < load.reportMillis()) {
            updates.addAll(gateways.get(gateway).quarantinedRequestUpdates());
        }
        for (int peer = 0; peer < load.gateways() && !updates.isEmpty(); peer++) {
            send(gateway, peer, updates);
        }
    }

    private void send(int gateway, int peer, List<QuarantineUpdate> updates) {
        boolean partitioned =
                events.nowMillis() >= PARTITION_START_MILLIS
                        && events.nowMillis() < PARTITION_END_MILLIS
                        && (gateway == 0 || peer == 0);
        if (gateway == peer || partitioned || random.nextDouble() < REPORT_LOSS) {
            return;
        }
        events.schedule(
                events.nowMillis() + 1 + random.nextInt(load.delayMillis()),
                () ->
                        updates.forEach(
                                each -> gateways.get(peer).applyUpdate(each, events.nowMillis())));
    }

    private void sendSnapshotToPartitioned() {
        gateways.get(1)
                .snapshot()
                .forEach(each -> gateways.get(0).applyUpdate(each, events.nowMillis()));
    }

    private static Fingerprint fingerprint(int request) {
        return new Fingerprint(request, request);
    }
}
