package org.martenwell.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareTier;

/**
 * A discrete-event simulation of the placement by many gateways. It runs the production classes on
 * a simulated clock; reports between gateways are delayed, and engines process prefills one after
 * the other, run a request per slot, queue a limited number and reject the rest.
 */
final class PlacementSimulation {

    /** The size of the fleet, its load and the delay of reports. */
    record Scenario(
            int gateways,
            int engines,
            double requestsPerSecond,
            long reportMillis,
            long delayMillis,
            long seconds,
            long seed) {}

    /** The numbers of requests by their outcome. */
    record Outcome(int total, int inTime, int late, int refused, int rejected) {

        double inTimeShare() {
            return (double) inTime / total;
        }

        double rejectedShare() {
            return (double) rejected / Math.max(1, total);
        }
    }

    /** A kind of request: its share of all requests, its sizes in tokens and its objective. */
    private record Kind(
            double share,
            int sharedTokens,
            int prefixCount,
            int ownPartTokens,
            int responseTokens,
            long objectiveMillis) {}

    /** Reports, questions and classifications. */
    private static final List<Kind> KINDS =
            List.of(
                    new Kind(0.25, 4_900, 980, 6_600, 380, 400),
                    new Kind(0.20, 200, 800, 630, 290, 200),
                    new Kind(0.55, 570, 1_450, 1_800, 22, 250));

    private static final EngineCapacity CAPACITY = new EngineCapacity(16, 636_749, true);

    /** The length of the queue of an engine. */
    private static final int MAX_QUEUED = 33;

    /** The prefill rate of engines, in tokens per millisecond. */
    private static final double PREFILL_RATE = 157;

    /** The time to the first event of an empty prompt, in milliseconds. */
    private static final double BASE_MILLIS = 26;

    /** The time per generated token at an idle engine, in milliseconds. */
    private static final double TOKEN_MILLIS = 3.55;

    /** The increase of that time for each running request, in milliseconds. */
    private static final double TOKEN_MILLIS_PER_SLOT = 0.046;

    /** The network time from the caller to the engine and back, in milliseconds. */
    private static final double NETWORK_MILLIS = 15;

    /** The fraction of the objective for which a request waits for capacity. */
    private static final double WAIT_FRACTION = 0.2;

    /** The interval at which a waiting request is placed again, in milliseconds. */
    private static final long RETRY_MILLIS = 10;

    private final Scenario scenario;

    /** Enables the noise on costs by which gateways allow for unreported work. */
    private final boolean addsNoise;

    private final Random random;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::order));

    private final List<Engine> engines = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private double now;

    private long order;

    private int total;

    private int inTime;

    private int late;

    private int refused;

    private int rejected;

    private record Event(double at, long order, Runnable action) {}

    private PlacementSimulation(Scenario scenario, boolean addsNoise) {
        this.scenario = scenario;
        this.addsNoise = addsNoise;
        this.random = new Random(scenario.seed());
        for (int index = 0; index < scenario.engines(); index++) {
            engines.add(new Engine(index));
        }
        for (int index = 0; index < scenario.gateways(); index++) {
            gateways.add(new Gateway(index));
        }
    }

    /** Simulates a scenario. */
    static Outcome simulate(Scenario scenario) {
        return new PlacementSimulation(scenario, true).simulate();
    }

    /** Simulates a scenario in which gateways treat reported loads as current. */
    static Outcome simulateWithoutNoise(Scenario scenario) {
        return new PlacementSimulation(scenario, false).simulate();
    }

    private Outcome simulate() {
        double end = 1_000.0 * scenario.seconds();
        for (double at = next(0); at < end; at = next(at)) {
            schedule(at, this::arrive);
        }
        for (Gateway each : gateways) {
            each.reportFrom(random.nextDouble() * scenario.reportMillis(), end);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        return new Outcome(total, inTime, late, refused, rejected);
    }

    private double next(double at) {
        return at - Math.log(1 - random.nextDouble()) * 1_000 / scenario.requestsPerSecond();
    }

    private void schedule(double at, Runnable action) {
        events.add(new Event(at, order++, action));
    }

    private void arrive() {
        total++;
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

    private static String domain(int index) {
        return "domain-" + index % 5;
    }

    /** A request and its placement. */
    private final class Request {

        private final Gateway gateway;

        private final Kind kind;

        private final EngineDemand demand;

        private final int ownTokens;

        private boolean retried;

        private RunningRequest running;

        private Request(Gateway gateway, Kind kind) {
            this.gateway = gateway;
            this.kind = kind;
            this.ownTokens = (int) (kind.ownPartTokens() * (0.5 + random.nextDouble()));
            String prefix = kind.responseTokens() + "-" + random.nextInt(kind.prefixCount());
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
                            kind.objectiveMillis(),
                            (long) now);
        }

        private void place() {
            Optional<EngineChoice> choice = gateway.choose(demand);
            if (choice.isPresent()) {
                send(choice.get().load(), choice.get().prefillTokens());
            } else if (now - demand.arrivedMillis() < WAIT_FRACTION * demand.objectiveMillis()) {
                schedule(now + RETRY_MILLIS, this::place);
            } else {
                refused++;
            }
        }

        private void send(TargetLoad target, long prefillTokens) {
            running =
                    new RunningRequest(
                            prefillTokens, (long) ownTokens + kind.responseTokens(), (long) now, 0);
            target.sent(running);
            gateway.unreported.sent(
                    EngineChooser.workMillis(prefillTokens / PREFILL_RATE, CAPACITY.slots()),
                    (long) now);
            target.promptCache().put(demand.chain(), CAPACITY.memoryTokens() / 2);
            Engine engine = engines.get(Integer.parseInt(target.target().id()));
            if (!engine.accept(this, prefillTokens)) {
                target.ended(running);
                rejected++;
                retry(target);
            }
        }

        private void retry(TargetLoad full) {
            full.health().suspend((long) now, 150);
            if (retried) {
                refused++;
                return;
            }
            retried = true;
            gateway.leastLoaded()
                    .ifPresentOrElse(other -> send(other, demand.promptTokens()), () -> refused++);
        }

        private void firstEventArrived(Engine engine) {
            gateway.load(engine).firstEventArrived(running);
            if (now + NETWORK_MILLIS - demand.arrivedMillis() <= demand.objectiveMillis()) {
                inTime++;
            } else {
                late++;
            }
        }

        private void ended(Engine engine) {
            gateway.load(engine).ended(running);
        }
    }

    /** A simulated engine. */
    private final class Engine {

        private final int index;

        private final Deque<Runnable> waiting = new ArrayDeque<>();

        private int running;

        private double prefillFreeAt;

        private Engine(int index) {
            this.index = index;
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
            prefillFreeAt = Math.max(now, prefillFreeAt) + prefillTokens / PREFILL_RATE;
            double first = prefillFreeAt + BASE_MILLIS;
            double tokenMillis = TOKEN_MILLIS + TOKEN_MILLIS_PER_SLOT * running;
            schedule(first, () -> request.firstEventArrived(this));
            schedule(
                    first + tokenMillis * request.kind.responseTokens(),
                    () -> {
                        request.ended(this);
                        running--;
                        startNext();
                    });
        }
    }

    /** A simulated gateway with its view of the engines. */
    private final class Gateway {

        private final String name;

        private final List<TargetLoad> loads = new ArrayList<>();

        private final EngineChooser chooser;

        private final PrefillRate rate = new PrefillRate();

        private final UnreportedWork unreported = new UnreportedWork();

        /** The engines listed in the last report. */
        private Set<Integer> reportedEngines = Set.of();

        private Gateway(int index) {
            this.name = "gateway-" + index;
            this.chooser = new EngineChooser(domain(index), random);
            for (int engine = 0; engine < scenario.engines(); engine++) {
                loads.add(
                        new TargetLoad(
                                new DirectoryTarget(
                                        Integer.toString(engine),
                                        OptionalLong.of(1),
                                        "s",
                                        IpAddress.of("127.0.0.1:1"),
                                        domain(engine),
                                        CAPACITY.slots(),
                                        false)));
            }
            unreported.updateFleet(
                    scenario.gateways() - 1,
                    scenario.reportMillis() / 2.0 + scenario.delayMillis());
            for (int sample = 0; sample < 200; sample++) {
                rate.observe(new RunningRequest(100, 0, 0, 0), (long) BASE_MILLIS);
                rate.observe(
                        new RunningRequest(6_000, 0, 0, 0),
                        (long) (BASE_MILLIS + 6_000 / PREFILL_RATE));
            }
        }

        private TargetLoad load(Engine engine) {
            return loads.get(engine.index);
        }

        private List<TargetLoad> available() {
            return loads.stream().filter(each -> each.health().isAvailable((long) now)).toList();
        }

        private Optional<EngineChoice> choose(EngineDemand demand) {
            List<TargetLoad> candidates =
                    chooser.withCapacity(
                            demand, ShareTier.PROMISED, available(), CAPACITY, rate, (long) now);
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            PromptCacheLookup cacheLookup =
                    PromptCacheLookup.of(demand.chain(), available(), List.of());
            return chooser.choose(
                    demand,
                    ShareTier.PROMISED,
                    candidates,
                    cacheLookup,
                    CAPACITY,
                    rate,
                    addsNoise ? unreported.perTarget(scenario.engines(), (long) now) : 0,
                    (long) now);
        }

        private Optional<TargetLoad> leastLoaded() {
            return available().stream()
                    .min(Comparator.comparingInt(each -> each.totalLoad((long) now).requests()));
        }

        private void reportFrom(double at, double end) {
            if (at < end) {
                schedule(
                        at,
                        () -> {
                            report();
                            reportFrom(at + scenario.reportMillis(), end);
                        });
            }
        }

        /** Reports the loads of this gateway to all others, after the delay. */
        private void report() {
            Map<Integer, LoadSums> reported = new HashMap<>();
            reportedEngines.forEach(each -> reported.put(each, LoadSums.NONE));
            for (int engine = 0; engine < loads.size(); engine++) {
                if (loads.get(engine).own().requests() > 0) {
                    reported.put(engine, loads.get(engine).own());
                }
            }
            reportedEngines = Set.copyOf(reported.keySet());
            schedule(now + scenario.delayMillis(), () -> deliver(reported));
        }

        private void deliver(Map<Integer, LoadSums> reported) {
            for (Gateway each : gateways) {
                if (each != this) {
                    reported.forEach((engine, sums) -> each.receive(name, engine, sums));
                }
            }
        }

        private void receive(String peer, int engine, LoadSums sums) {
            loads.get(engine).applyPeerReport(peer, sums, (long) now);
        }
    }
}
