package org.martenwell.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareTier;
import org.martenwell.simulation.SimulatedEvents;

/**
 * A discrete-event simulation of the placement on engines of different speeds. It runs the
 * production classes on a simulated clock; loads and samples of speeds reach other gateways late.
 */
final class UnevenEnginesSimulation {

    /** What gateways know of the speeds of engines. */
    enum Knowledge {
        /** All engines count as equally fast. */
        NONE,
        /** Speeds are estimated from samples and notices. */
        LEARNT,
        /** All gateways know the speeds. */
        TOLD,
        /** One gateway knows the speeds and all loads as they are events.now(). */
        PERFECT
    }

    /** The engines and the load on each of them. */
    record Scenario(List<Double> speeds, double slowPart, double requestsPerSecond, long seed) {}

    /** The numbers of requests by their outcome; those that are not in time are late or refused. */
    record Outcome(int total, int inTime, int refused) {

        double inTimePart() {
            return (double) inTime / total;
        }
    }

    /** A kind of request: its share of all requests, its sizes in tokens and its objective. */
    private record Kind(
            double share, int sharedTokens, int ownTokens, int responseTokens, long objective) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(0.25, 5_382, 6_610, 48, 800),
                    new Kind(0.20, 198, 628, 36, 600),
                    new Kind(0.55, 568, 1_800, 3, 1_200));

    private static final EngineCapacity CAPACITY = new EngineCapacity(12, 400_000, false);

    private static final int GATEWAYS = 30;

    /** The number of shared parts of each kind. */
    private static final int PREFIXES = 100;

    private static final int MAX_QUEUED = 25;

    /** The prefill rate of an engine of speed 1, in tokens per millisecond. */
    private static final double PREFILL_RATE = 57;

    /** The time to the first event of an empty prompt at speed 1, in milliseconds. */
    private static final double BASE_MILLIS = 20;

    /** The time per generated token at speed 1, in milliseconds. */
    private static final double TOKEN_MILLIS = 8;

    /** The time from the gateway to the engine and back, in milliseconds. */
    private static final double NETWORK_MILLIS = 4;

    private static final double MILLIS = 1_000;

    private static final long REPORT_MILLIS = 200;

    private static final long NOTICE_MILLIS = 400;

    /** The delay of reports and notices, in milliseconds. */
    private static final long DELAY_MILLIS = 200;

    private static final long UPDATE_MILLIS = 200;

    /** The length of a period in which an engine may be slow, in milliseconds. */
    private static final long PERIOD_MILLIS = 600;

    private static final double SLOW_PERIOD_FACTOR = 2.5;

    /** The time of the simulation, in milliseconds. */
    private static final double END_MILLIS = 8_000;

    /** The time before which requests are not counted, in milliseconds. */
    private static final double COUNTED_FROM_MILLIS = 3_000;

    /** The fraction of the objective for which a request waits for capacity. */
    private static final double WAIT_FRACTION = 0.2;

    /** The interval at which a waiting request is placed again, in milliseconds. */
    private static final long RETRY_MILLIS = 10;

    private final Scenario scenario;

    private final Knowledge knowledge;

    private final Random random;

    private final SimulatedEvents events = new SimulatedEvents();

    private final List<Engine> engines = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private final ReportedLoads reports;

    private int total;

    private int inTime;

    private int refused;

    private UnevenEnginesSimulation(Scenario scenario, Knowledge knowledge) {
        this.scenario = scenario;
        this.knowledge = knowledge;
        this.random = new Random(scenario.seed());
        for (int index = 0; index < scenario.speeds().size(); index++) {
            engines.add(new Engine(index));
        }
        int count = knowledge == Knowledge.PERFECT ? 1 : GATEWAYS;
        reports = new ReportedLoads(count, engines.size());
        for (int index = 0; index < count; index++) {
            gateways.add(new Gateway(index));
        }
    }

    static Outcome simulate(Scenario scenario, Knowledge knowledge) {
        return new UnevenEnginesSimulation(scenario, knowledge).simulate();
    }

    private Outcome simulate() {
        for (double at = next(0); at < END_MILLIS; at = next(at)) {
            events.schedule(at, this::arrive);
        }
        for (Gateway each : gateways) {
            repeat(random.nextInt((int) REPORT_MILLIS), REPORT_MILLIS, each::reportLoads);
            if (knowledge == Knowledge.LEARNT) {
                repeat(random.nextInt((int) NOTICE_MILLIS), NOTICE_MILLIS, each::reportSpeeds);
                repeat(random.nextInt((int) UPDATE_MILLIS), UPDATE_MILLIS, each::updateSpeeds);
            }
        }
        repeat(0, PERIOD_MILLIS, () -> engines.forEach(Engine::beginPeriod));
        events.run();
        return new Outcome(total, inTime, refused);
    }

    private double next(double at) {
        double perMilli = scenario.requestsPerSecond() * scenario.speeds().size() / MILLIS;
        return at - Math.log(1 - random.nextDouble()) / perMilli;
    }

    private void repeat(double at, long interval, Runnable action) {
        events.repeat(at, interval, END_MILLIS, action);
    }

    private void arrive() {
        Gateway gateway = gateways.get(random.nextInt(gateways.size()));
        new Request(gateway, kind()).place();
    }

    private Kind kind() {
        double remaining = random.nextDouble();
        for (Kind each : KINDS) {
            remaining -= each.share();
            if (remaining < 0) {
                return each;
            }
        }
        return KINDS.get(0);
    }

    /** A request and its placement. */
    private final class Request {

        private final Gateway gateway;

        private final Kind kind;

        private final EngineDemand demand;

        private final int ownTokens;

        private RunningRequest running;

        private TargetLoad target;

        private boolean copied;

        private double sentAt;

        private Request(Gateway gateway, Kind kind) {
            this.gateway = gateway;
            this.kind = kind;
            this.ownTokens = (int) (kind.ownTokens() * (0.5 + random.nextDouble()));
            String prefix = kind.sharedTokens() + "-" + random.nextInt(PREFIXES);
            List<PromptPart> parts =
                    List.of(
                            new PromptPart(prefix, kind.sharedTokens()),
                            new PromptPart("own", ownTokens));
            this.demand =
                    new EngineDemand(
                            "o",
                            PromptChain.of("m", parts),
                            (long) kind.sharedTokens() + ownTokens,
                            kind.responseTokens(),
                            kind.objective(),
                            events.nowMillis());
            total += counted() ? 1 : 0;
        }

        private boolean counted() {
            return demand.arrivedMillis() >= COUNTED_FROM_MILLIS;
        }

        private void place() {
            Optional<EngineChoice> choice = gateway.choose(demand);
            if (choice.isPresent()) {
                send(choice.get());
            } else if (events.now() - demand.arrivedMillis()
                    < WAIT_FRACTION * demand.objectiveMillis()) {
                events.schedule(events.now() + RETRY_MILLIS, this::place);
            } else {
                refused += counted() ? 1 : 0;
            }
        }

        private void send(EngineChoice choice) {
            target = choice.load();
            copied = choice.copyFrom().isPresent();
            sentAt = events.now();
            running =
                    new RunningRequest(
                            choice.prefillTokens(),
                            (long) ownTokens + kind.responseTokens(),
                            events.nowMillis(),
                            choice.backlogMillis());
            target.sent(running);
            gateway.unreported.sent(
                    EngineChooser.workMillis(
                            target.prefillMillis(choice.prefillTokens(), gateway.rate),
                            CAPACITY.slots()),
                    events.nowMillis());
            for (Gateway each : gateways) {
                each.loads
                        .get(index(target))
                        .promptCache()
                        .put(demand.chain(), CAPACITY.memoryTokens() / 2);
            }
            if (!engines.get(index(target)).accept(this, choice.prefillTokens())) {
                target.ended(running);
                target.health().suspend(events.nowMillis(), 150);
                refused += counted() ? 1 : 0;
            }
        }

        private void firstEventArrived() {
            target.firstEventArrived(running);
            long elapsed = (long) (events.now() - sentAt);
            if (knowledge == Knowledge.LEARNT && !copied) {
                gateway.rate
                        .speed(running, elapsed)
                        .ifPresent(ratio -> target.speed().observe(ratio, events.nowMillis()));
            }
            gateway.rate.observe(running, elapsed);
            if (counted() && events.now() - demand.arrivedMillis() <= demand.objectiveMillis()) {
                inTime++;
            }
        }
    }

    private static int index(TargetLoad load) {
        return Integer.parseInt(load.target().id());
    }

    /** A simulated engine. */
    private final class Engine {

        private final int index;

        private final Deque<Runnable> waiting = new ArrayDeque<>();

        private int running;

        private double prefillFreeAt;

        private boolean slow;

        private Engine(int index) {
            this.index = index;
        }

        private void beginPeriod() {
            slow = random.nextDouble() < scenario.slowPart();
        }

        /** Returns the time of a piece of work that takes a given time at speed 1. */
        private double millis(double work) {
            return work * (slow ? SLOW_PERIOD_FACTOR : 1) / scenario.speeds().get(index);
        }

        private boolean accept(Request request, long prefillTokens) {
            if (waiting.size() >= MAX_QUEUED) {
                return false;
            }
            waiting.add(() -> start(request, prefillTokens));
            startNext();
            return true;
        }

        private void startNext() {
            while (running < CAPACITY.slots() && !waiting.isEmpty()) {
                running++;
                waiting.poll().run();
            }
        }

        private void start(Request request, long prefillTokens) {
            prefillFreeAt =
                    Math.max(events.now(), prefillFreeAt) + millis(prefillTokens / PREFILL_RATE);
            double first = prefillFreeAt + millis(BASE_MILLIS) + NETWORK_MILLIS;
            events.schedule(first, request::firstEventArrived);
            events.schedule(
                    first + millis(TOKEN_MILLIS) * request.kind.responseTokens(),
                    () -> {
                        request.target.ended(request.running);
                        running--;
                        startNext();
                    });
        }
    }

    /** A simulated gateway with its view of the engines. */
    private final class Gateway {

        private final int index;

        private final List<TargetLoad> loads = new ArrayList<>();

        private final EngineChooser chooser;

        private final PrefillRate rate = new PrefillRate();

        private final UnreportedWork unreported = new UnreportedWork();

        private Gateway(int index) {
            this.index = index;
            this.chooser = new EngineChooser("domain", random);
            for (int engine = 0; engine < scenario.speeds().size(); engine++) {
                loads.add(
                        new TargetLoad(
                                new DirectoryTarget(
                                        Integer.toString(engine),
                                        OptionalLong.of(1),
                                        "s",
                                        IpAddress.of("127.0.0.1:1"),
                                        "domain",
                                        CAPACITY.slots(),
                                        false)));
                if (knowledge == Knowledge.PERFECT || knowledge == Knowledge.TOLD) {
                    loads.get(engine).speed().factor(scenario.speeds().get(engine));
                }
            }
            if (knowledge != Knowledge.PERFECT) {
                unreported.updateFleet(GATEWAYS - 1, REPORT_MILLIS / 2.0 + DELAY_MILLIS);
            }
        }

        private List<TargetLoad> available() {
            return loads.stream()
                    .filter(each -> each.health().isAvailable(events.nowMillis()))
                    .toList();
        }

        private Optional<EngineChoice> choose(EngineDemand demand) {
            reports.apply(index, loads, events.nowMillis());
            List<TargetLoad> available = available();
            LoadForecast forecast =
                    LoadForecast.ofReports(
                            rate, unreported.perTarget(available.size(), events.nowMillis()));
            List<TargetLoad> candidates =
                    chooser.withCapacity(
                            demand,
                            ShareTier.PROMISED,
                            available,
                            CAPACITY,
                            forecast,
                            events.nowMillis());
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            return chooser.choose(
                    demand,
                    ShareTier.PROMISED,
                    candidates,
                    PromptCacheLookup.of(demand.chain(), available, List.of()),
                    CAPACITY,
                    forecast,
                    UnrestrictedPlacement.INSTANCE,
                    events.nowMillis());
        }

        /** Reports the loads of this gateway to all others. */
        private void reportLoads() {
            Map<Integer, LoadSums> reported = new HashMap<>();
            for (int engine = 0; engine < loads.size(); engine++) {
                reported.put(engine, loads.get(engine).own());
            }
            events.schedule(events.now() + DELAY_MILLIS, () -> reports.arrived(index, reported));
        }

        /** Reports the samples of this gateway to all others. */
        private void reportSpeeds() {
            for (int engine = 0; engine < loads.size(); engine++) {
                int index = engine;
                loads.get(engine)
                        .speed()
                        .takeReport("t")
                        .ifPresent(
                                report ->
                                        events.schedule(
                                                events.now() + DELAY_MILLIS,
                                                () -> told(index, report)));
            }
        }

        private void told(int engine, TargetSpeedReport report) {
            others().forEach(
                            each ->
                                    each.loads
                                            .get(engine)
                                            .speed()
                                            .apply(report, events.nowMillis()));
        }

        private void updateSpeeds() {
            RelativeSpeeds.update(
                    loads.stream().map(TargetLoad::speed).toList(), events.nowMillis());
        }

        private List<Gateway> others() {
            return gateways.stream().filter(each -> each != this).toList();
        }
    }
}
