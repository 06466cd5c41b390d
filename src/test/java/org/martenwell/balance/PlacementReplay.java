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
 * Replays requests by the real placement of many gateways on a clock of its own. Gateways hear of
 * each other's requests late, as relays tell them. Engines read prompts one after the other, run as
 * many requests as they have slots, let a few more wait and reject the rest.
 */
final class PlacementReplay {

    /** The load that is replayed. */
    record Load(
            int gateways,
            int engines,
            double requestsPerSecond,
            long reportMillis,
            long delayMillis,
            long seconds,
            long seed) {}

    /** What became of the requests. */
    record Outcome(int asked, int inTime, int late, int refused, int rejected) {

        double inTimeShare() {
            return (double) inTime / asked;
        }

        double rejectedShare() {
            return (double) rejected / Math.max(1, asked);
        }
    }

    /** A kind of request: how often it comes, what it reads, answers and needs. */
    private record Kind(
            double share, int shared, int things, int own, int answer, long objectiveMillis) {}

    /** The kinds of a fleet that serves reports, questions and classifications. */
    private static final List<Kind> KINDS =
            List.of(
                    new Kind(0.25, 4_900, 980, 6_600, 380, 400),
                    new Kind(0.20, 200, 800, 630, 290, 200),
                    new Kind(0.55, 570, 1_450, 1_800, 22, 250));

    private static final EngineCapacity TERMS = new EngineCapacity(16, 636_749, true);

    /** How many requests wait at an engine before it rejects more. */
    private static final int QUEUE = 33;

    /** The rate at which engines read, in tokens a millisecond. */
    private static final double READ_RATE = 157;

    /** How long a first event takes besides reading, in milliseconds. */
    private static final double FIRST_MILLIS = 26;

    /** How long a token takes at an empty engine, in milliseconds. */
    private static final double STEP_MILLIS = 3.55;

    /** How much longer it takes for each request beside it, in milliseconds. */
    private static final double STEP_MILLIS_A_SLOT = 0.046;

    /** How long a request travels from its caller to its engine and back, in milliseconds. */
    private static final double TRAVEL_MILLIS = 15;

    /** The part of an objective for which a request waits for room. */
    private static final double WAIT_PART = 0.2;

    /** How often a request that waits looks for room, in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    private final Load load;

    /** Whether gateways reckon with what they don't know. */
    private final boolean blurs;

    private final Random random;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::order));

    private final List<Engine> engines = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private double now;

    private long order;

    private int asked;

    private int inTime;

    private int late;

    private int refused;

    private int rejected;

    private record Event(double at, long order, Runnable action) {}

    private PlacementReplay(Load load, boolean blurs) {
        this.load = load;
        this.blurs = blurs;
        this.random = new Random(load.seed());
        for (int index = 0; index < load.engines(); index++) {
            engines.add(new Engine(index));
        }
        for (int index = 0; index < load.gateways(); index++) {
            gateways.add(new Gateway(index));
        }
    }

    /** Replays a load. */
    static Outcome play(Load load) {
        return new PlacementReplay(load, true).play();
    }

    /** Replays a load as if all that is known were true now. */
    static Outcome playTrusting(Load load) {
        return new PlacementReplay(load, false).play();
    }

    private Outcome play() {
        double end = 1_000.0 * load.seconds();
        for (double at = next(0); at < end; at = next(at)) {
            schedule(at, this::arrive);
        }
        for (Gateway each : gateways) {
            each.reportFrom(random.nextDouble() * load.reportMillis(), end);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        return new Outcome(asked, inTime, late, refused, rejected);
    }

    private double next(double at) {
        return at - Math.log(1 - random.nextDouble()) * 1_000 / load.requestsPerSecond();
    }

    private void schedule(double at, Runnable action) {
        events.add(new Event(at, order++, action));
    }

    private void arrive() {
        asked++;
        Gateway gateway = gateways.get(random.nextInt(gateways.size()));
        new Request(gateway, kind()).place();
    }

    private Kind kind() {
        double left = random.nextDouble();
        for (Kind each : KINDS) {
            left -= each.share();
            if (left < 0) {
                return each;
            }
        }
        return KINDS.get(0);
    }

    private static String domain(int index) {
        return "domain-" + index % 5;
    }

    /** A request on its way. */
    private final class Request {

        private final Gateway gateway;

        private final Kind kind;

        private final PromptNeed need;

        private final int ownTokens;

        private boolean sentBefore;

        private RunningRequest running;

        private Request(Gateway gateway, Kind kind) {
            this.gateway = gateway;
            this.kind = kind;
            this.ownTokens = (int) (kind.own() * (0.5 + random.nextDouble()));
            String thing = kind.answer() + "-" + random.nextInt(kind.things());
            List<PromptPart> parts =
                    List.of(new PromptPart(thing, kind.shared()), new PromptPart("own", ownTokens));
            this.need =
                    new PromptNeed(
                            "o",
                            PromptChain.of("m", parts),
                            (long) kind.shared() + ownTokens,
                            kind.answer(),
                            kind.objectiveMillis(),
                            (long) now);
        }

        private void place() {
            Optional<EngineChoice> choice = gateway.choose(need);
            if (choice.isPresent()) {
                send(choice.get().load(), choice.get().unreadTokens());
            } else if (now - need.arrivedMillis() < WAIT_PART * need.objectiveMillis()) {
                schedule(now + LOOK_MILLIS, this::place);
            } else {
                refused++;
            }
        }

        private void send(TargetLoad target, long unread) {
            running = new RunningRequest(unread, (long) ownTokens + kind.answer(), (long) now, 0);
            target.sent(running);
            gateway.unseen.sent(
                    EngineChooser.workMillis(unread / READ_RATE, TERMS.slots()), (long) now);
            target.memory().keep(need.chain(), TERMS.memoryTokens() / 2);
            Engine engine = engines.get(Integer.parseInt(target.target().id()));
            if (!engine.take(this, unread)) {
                target.ended(running);
                rejected++;
                again(target);
            }
        }

        private void again(TargetLoad full) {
            full.health().close((long) now, 150);
            if (sentBefore) {
                refused++;
                return;
            }
            sentBefore = true;
            gateway.leastLoaded()
                    .ifPresentOrElse(other -> send(other, need.promptTokens()), () -> refused++);
        }

        private void begun(Engine engine) {
            gateway.load(engine).begun(running);
            if (now + TRAVEL_MILLIS - need.arrivedMillis() <= need.objectiveMillis()) {
                inTime++;
            } else {
                late++;
            }
        }

        private void ended(Engine engine) {
            gateway.load(engine).ended(running);
        }
    }

    /** An engine as it is. */
    private final class Engine {

        private final int index;

        private final Deque<Runnable> waiting = new ArrayDeque<>();

        private int runs;

        private double readerFreeAt;

        private Engine(int index) {
            this.index = index;
        }

        private boolean take(Request request, long unread) {
            if (waiting.size() >= QUEUE) {
                return false;
            }
            waiting.add(() -> start(request, unread));
            startNext();
            return true;
        }

        private void startNext() {
            while (runs < TERMS.slots() && !waiting.isEmpty()) {
                runs++;
                waiting.poll().run();
            }
        }

        private void start(Request request, long unread) {
            readerFreeAt = Math.max(now, readerFreeAt) + unread / READ_RATE;
            double first = readerFreeAt + FIRST_MILLIS;
            double step = STEP_MILLIS + STEP_MILLIS_A_SLOT * runs;
            schedule(first, () -> request.begun(this));
            schedule(
                    first + step * request.kind.answer(),
                    () -> {
                        request.ended(this);
                        runs--;
                        startNext();
                    });
        }
    }

    /** A gateway and what it knows. */
    private final class Gateway {

        private final String name;

        private final List<TargetLoad> loads = new ArrayList<>();

        private final EngineChooser chooser;

        private final ReadingRate rate = new ReadingRate();

        private final UnseenWork unseen = new UnseenWork();

        /** The engines that had requests of this gateway when it last reported. */
        private Set<Integer> loaded = Set.of();

        private Gateway(int index) {
            this.name = "gateway-" + index;
            this.chooser = new EngineChooser(domain(index), random);
            for (int engine = 0; engine < load.engines(); engine++) {
                loads.add(
                        new TargetLoad(
                                new DirectoryTarget(
                                        Integer.toString(engine),
                                        OptionalLong.of(1),
                                        "s",
                                        IpAddress.of("127.0.0.1:1"),
                                        domain(engine),
                                        TERMS.slots(),
                                        false)));
            }
            unseen.fleet(load.gateways() - 1, load.reportMillis() / 2.0 + load.delayMillis());
            for (int lesson = 0; lesson < 200; lesson++) {
                rate.observe(new RunningRequest(100, 0, 0, 0), (long) FIRST_MILLIS);
                rate.observe(
                        new RunningRequest(6_000, 0, 0, 0),
                        (long) (FIRST_MILLIS + 6_000 / READ_RATE));
            }
        }

        private TargetLoad load(Engine engine) {
            return loads.get(engine.index);
        }

        private List<TargetLoad> open() {
            return loads.stream().filter(each -> each.health().open((long) now)).toList();
        }

        private Optional<EngineChoice> choose(PromptNeed need) {
            List<TargetLoad> candidates =
                    chooser.withRoom(need, ShareTier.PROMISED, open(), TERMS, rate, (long) now);
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            PromptKeepers keepers = PromptKeepers.of(need.chain(), open(), List.of());
            return chooser.choose(
                    need,
                    ShareTier.PROMISED,
                    candidates,
                    keepers,
                    TERMS,
                    rate,
                    blurs ? unseen.perTarget(load.engines(), (long) now) : 0,
                    (long) now);
        }

        private Optional<TargetLoad> leastLoaded() {
            return open().stream()
                    .min(Comparator.comparingInt(each -> each.all((long) now).requests()));
        }

        private void reportFrom(double at, double end) {
            if (at < end) {
                schedule(
                        at,
                        () -> {
                            report();
                            reportFrom(at + load.reportMillis(), end);
                        });
            }
        }

        /** Tells all others what this gateway has on engines, some time later. */
        private void report() {
            Map<Integer, LoadSums> told = new HashMap<>();
            loaded.forEach(each -> told.put(each, LoadSums.NONE));
            for (int engine = 0; engine < loads.size(); engine++) {
                if (loads.get(engine).own().requests() > 0) {
                    told.put(engine, loads.get(engine).own());
                }
            }
            loaded = Set.copyOf(told.keySet());
            schedule(now + load.delayMillis(), () -> tell(told));
        }

        private void tell(Map<Integer, LoadSums> told) {
            for (Gateway each : gateways) {
                if (each != this) {
                    told.forEach((engine, sums) -> each.heard(name, engine, sums));
                }
            }
        }

        private void heard(String peer, int engine, LoadSums sums) {
            loads.get(engine).peer(peer, sums, (long) now);
        }
    }
}
