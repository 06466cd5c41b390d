package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.ShareTier;
import org.martenwell.simulation.SimulatedEvents;

/**
 * A discrete-event simulation of the placement by many gateways. It runs the production classes on
 * a simulated clock; reports between gateways are delayed, and engines run a request per slot,
 * queue a limited number and reject the rest.
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
            long seed,
            double hotPart) {

        /** Creates a scenario in which callers are spread evenly over the gateways. */
        Scenario(
                int gateways,
                int engines,
                double requestsPerSecond,
                long reportMillis,
                long delayMillis,
                long seconds,
                long seed) {
            this(gateways, engines, requestsPerSecond, reportMillis, delayMillis, seconds, seed, 0);
        }

        /** Returns the scenario with a part of the requests at one gateway. */
        Scenario withHotPart(double part) {
            return new Scenario(
                    gateways,
                    engines,
                    requestsPerSecond,
                    reportMillis,
                    delayMillis,
                    seconds,
                    seed,
                    part);
        }
    }

    /**
     * What gateways estimate beside what they report.
     *
     * @param speeds {@code true} for the speeds of engines, from the intervals between events.
     * @param forecasts {@code true} to count unreported work, and to correct forecasts.
     */
    record Knowledge(boolean speeds, boolean forecasts) {

        static final Knowledge OF_REPORTS = new Knowledge(false, false);
    }

    /** Reports, questions and classifications at engines that process prompts whole. */
    private static final FleetModel EQUAL_ENGINES =
            new FleetModel(
                    List.of(
                            new RequestKind("report", 4_900, 980, 6_600, 0, 380, 400, 0),
                            new RequestKind("question", 200, 800, 630, 0, 290, 200, 0),
                            new RequestKind("classification", 570, 1_450, 1_800, 0, 22, 250, 0)),
                    List.of(new FleetModel.Phase(0, 1, List.of(0.25, 0.20, 0.55))),
                    new EngineCapacity(16, 636_749, true),
                    33,
                    157,
                    0,
                    26,
                    3.55,
                    0.046,
                    List.of(1.0),
                    false,
                    0);

    /** The network time from the caller to the engine and back, in milliseconds. */
    private static final double NETWORK_MILLIS = 15;

    /** The fraction of the objective for which a request waits for capacity. */
    private static final double WAIT_FRACTION = 0.2;

    /** The interval at which a waiting request is placed again, in milliseconds. */
    private static final long RETRY_MILLIS = 10;

    private static final double SPEED_UPDATE_MILLIS = 200;

    private static final double SPEED_NOTICE_MILLIS = 400;

    /** The time after which gateways learn that engines are lost, in milliseconds. */
    private static final double LOSS_NOTICE_MILLIS = 300;

    private final Scenario scenario;

    private final FleetModel model;

    private final EngineCapacity capacity;

    private final Supplier<PlacementRule> rules;

    private final Knowledge knowledge;

    /** Enables the noise on costs by which gateways allow for unreported work. */
    private final boolean addsNoise;

    private final Random random;

    private final SimulatedEvents events = new SimulatedEvents();

    private final List<SimulatedEngine> engines = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private final ReportedLoads reports;

    private final Map<RequestKind, KindResult> results = new LinkedHashMap<>();

    /** The engines whose loss gateways know. */
    private final Set<Integer> lostEngines = new HashSet<>();

    private PlacementSimulation(
            Scenario scenario,
            FleetModel model,
            Knowledge knowledge,
            boolean addsNoise,
            Supplier<PlacementRule> rules) {
        this.scenario = scenario;
        this.knowledge = knowledge;
        this.model = model;
        this.capacity = model.capacity();
        this.addsNoise = addsNoise;
        this.rules = rules;
        this.random = new Random(scenario.seed());
        model.kinds().forEach(each -> results.put(each, new KindResult()));
        for (int index = 0; index < scenario.engines(); index++) {
            engines.add(
                    model.chunkTokens() == 0
                            ? new SequentialEngine(model, events)
                            : new ChunkedEngine(index, model, events));
        }
        reports = new ReportedLoads(scenario.gateways(), scenario.engines());
        for (int index = 0; index < scenario.gateways(); index++) {
            gateways.add(new Gateway(index));
        }
    }

    /** Simulates a scenario with equal engines. */
    static KindResult simulate(Scenario scenario) {
        return sum(
                new PlacementSimulation(
                                scenario,
                                EQUAL_ENGINES,
                                Knowledge.OF_REPORTS,
                                true,
                                () -> UnrestrictedPlacement.INSTANCE)
                        .simulate());
    }

    /** Simulates a scenario in which gateways treat reported loads as current. */
    static KindResult simulateWithoutNoise(Scenario scenario) {
        return sum(
                new PlacementSimulation(
                                scenario,
                                EQUAL_ENGINES,
                                Knowledge.OF_REPORTS,
                                false,
                                () -> UnrestrictedPlacement.INSTANCE)
                        .simulate());
    }

    /**
     * Simulates a scenario.
     *
     * @param rules Creates the rule of each gateway.
     * @return The results by the name of the kind.
     */
    static Map<String, KindResult> simulate(
            Scenario scenario, FleetModel model, Supplier<PlacementRule> rules) {
        return simulate(scenario, model, Knowledge.OF_REPORTS, rules);
    }

    /**
     * Simulates a scenario.
     *
     * @param knowledge What gateways estimate beside what they report.
     * @param rules Creates the rule of each gateway.
     * @return The results by the name of the kind.
     */
    static Map<String, KindResult> simulate(
            Scenario scenario,
            FleetModel model,
            Knowledge knowledge,
            Supplier<PlacementRule> rules) {
        Map<String, KindResult> byName = new LinkedHashMap<>();
        new PlacementSimulation(scenario, model, knowledge, true, rules)
                .simulate()
                .forEach((kind, result) -> byName.put(kind.name(), result));
        return byName;
    }

    private static KindResult sum(Map<RequestKind, KindResult> results) {
        KindResult total = new KindResult();
        results.values().forEach(total::add);
        return total;
    }

    private Map<RequestKind, KindResult> simulate() {
        double end = 1_000.0 * scenario.seconds();
        for (double at = next(0); at < end; at = next(at)) {
            events.schedule(at, this::arrive);
        }
        for (Gateway each : gateways) {
            events.repeat(
                    random.nextDouble() * scenario.reportMillis(),
                    scenario.reportMillis(),
                    end,
                    each::report);
        }
        if (model.lossMillis() > 0) {
            events.schedule(model.lossMillis(), this::loseEngines);
        }
        events.run();
        return results;
    }

    private void loseEngines() {
        for (int index = 0; index < engines.size(); index += 2) {
            int lost = index;
            engines.get(lost).lose();
            events.schedule(events.now() + LOSS_NOTICE_MILLIS, () -> lostEngines.add(lost));
        }
    }

    private double next(double at) {
        return at
                - Math.log(1 - random.nextDouble())
                        * 1_000
                        / scenario.requestsPerSecond()
                        / model.phase(at).rateFactor();
    }

    private void arrive() {
        // Draws no number if callers are spread evenly, so that those results stay the same.
        boolean hot = scenario.hotPart() > 0 && random.nextDouble() < scenario.hotPart();
        Gateway gateway = gateways.get(hot ? 0 : random.nextInt(gateways.size()));
        RequestKind kind = kind();
        results.get(kind).arrived();
        new Request(gateway, kind).place();
    }

    private RequestKind kind() {
        List<Double> shares = model.phase(events.now()).shares();
        double remaining = random.nextDouble();
        for (int index = 0; index < shares.size(); index++) {
            remaining -= shares.get(index);
            if (remaining < 0) {
                return model.kinds().get(index);
            }
        }
        return model.kinds().get(0);
    }

    private static String domain(int index) {
        return "domain-" + index % 5;
    }

    /** A request and its placement. */
    private final class Request implements SimulatedRequest {

        private final Gateway gateway;

        private final RequestKind kind;

        private final KindResult result;

        private final EngineDemand demand;

        private final int ownTokens;

        private boolean retried;

        /** Set once the first event has arrived. */
        private boolean answered;

        private double lastEventAt;

        private double sentAt;

        private double forecastMillis;

        private final EventIntervals intervals = new EventIntervals();

        private boolean paused;

        private TargetLoad target;

        private RunningRequest running;

        /** The tokens of other prompts at the engine when the request was sent to it. */
        private long tokensAhead;

        private boolean behindLong;

        private Request(Gateway gateway, RequestKind kind) {
            this.gateway = gateway;
            this.kind = kind;
            this.result = results.get(kind);
            this.ownTokens = kind.sampleOwnTokens(random);
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
                            events.nowMillis());
        }

        private void place() {
            Optional<EngineChoice> choice = gateway.choose(demand);
            if (choice.isPresent()) {
                sentAt = events.now();
                forecastMillis =
                        gateway.forecast()
                                .uncorrectedMillis(
                                        choice.get().backlogMillis(),
                                        choice.get()
                                                .load()
                                                .prefillMillis(
                                                        choice.get().prefillTokens(),
                                                        gateway.rate));
                send(choice.get().load(), choice.get().prefillTokens());
                return;
            }
            result.placementFailed(engines.stream().anyMatch(SimulatedEngine::idle));
            if (events.now() - demand.arrivedMillis() < WAIT_FRACTION * demand.objectiveMillis()) {
                events.schedule(events.now() + RETRY_MILLIS, this::place);
            } else {
                result.refused();
            }
        }

        private void send(TargetLoad chosen, long prefillTokens) {
            target = chosen;
            running =
                    new RunningRequest(
                            prefillTokens,
                            (long) ownTokens + kind.responseTokens(),
                            events.nowMillis(),
                            0);
            target.sent(running);
            double prefillMillis = prefillTokens / model.effectivePrefillRate();
            gateway.unreported.sent(
                    EngineChooser.workMillis(prefillMillis, capacity.slots()), events.nowMillis());
            gateway.rule.sent(prefillMillis, events.nowMillis());
            target.promptCache().put(demand.chain(), capacity.memoryTokens() / 2);
            SimulatedEngine engine = engines.get(Integer.parseInt(target.target().id()));
            tokensAhead = engine.tokensAhead();
            behindLong = engine.hasLongPrefill();
            if (!engine.accept(this, prefillTokens)) {
                target.ended(running);
                result.rejected();
                retry();
            }
        }

        private void retry() {
            target.health().suspend(events.nowMillis(), 150);
            if (retried) {
                result.refused();
                return;
            }
            retried = true;
            gateway.leastLoaded()
                    .ifPresentOrElse(other -> send(other, demand.promptTokens()), result::refused);
        }

        @Override
        public int responseTokens() {
            return kind.responseTokens();
        }

        @Override
        public void firstEventArrived() {
            target.firstEventArrived(running);
            answered = true;
            lastEventAt = events.now();
            if (!retried) {
                gateway.error.observe(
                        forecastMillis, events.now() - sentAt - gateway.rate.baseMillis());
            }
            double millis = events.now() + NETWORK_MILLIS - demand.arrivedMillis();
            result.answered(
                    millis,
                    millis <= kind.objectiveMillis(),
                    running.prefillTokens(),
                    tokensAhead,
                    behindLong);
        }

        @Override
        public void eventArrived() {
            intervals
                    .received(events.nowMillis())
                    .ifPresent(millis -> gateway.observeInterval(target, millis));
            if (!paused && answered && events.now() - lastEventAt > kind.intervalMillis()) {
                paused = true;
                result.paused();
            }
            lastEventAt = events.now();
        }

        @Override
        public void ended() {
            target.ended(running);
        }

        @Override
        public void lost() {
            target.ended(running);
            if (!answered) {
                retry();
            }
        }
    }

    /** A simulated gateway with its view of the engines. */
    private final class Gateway {

        private final int index;

        private final List<TargetLoad> loads = new ArrayList<>();

        private final EngineChooser chooser;

        private final PlacementRule rule = rules.get();

        private final PrefillRate rate = new PrefillRate();

        private final UnreportedWork unreported = new UnreportedWork();

        private final ForecastError error = new ForecastError();

        private final EventIntervalRate intervalRate = new EventIntervalRate();

        private double nextSpeedsAt;

        private double nextNoticeAt;

        /** The engines listed in the last report. */
        private Set<Integer> reportedEngines = Set.of();

        private Gateway(int index) {
            this.index = index;
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
                                        capacity.slots(),
                                        false)));
            }
            unreported.updateFleet(
                    scenario.gateways() - 1,
                    scenario.reportMillis() / 2.0 + scenario.delayMillis());
            for (int sample = 0; sample < 200; sample++) {
                rate.observe(new RunningRequest(100, 0, 0, 0), (long) model.baseMillis());
                rate.observe(
                        new RunningRequest(6_000, 0, 0, 0),
                        (long) (model.baseMillis() + 6_000 / model.effectivePrefillRate()));
            }
        }

        /** Returns the engines that may be used, with the reports of all other gateways. */
        private List<TargetLoad> available() {
            reports.apply(index, loads, events.nowMillis());
            return loads.stream()
                    .filter(each -> each.health().isAvailable(events.nowMillis()))
                    .filter(each -> !lostEngines.contains(Integer.valueOf(each.target().id())))
                    .toList();
        }

        private Optional<EngineChoice> choose(EngineDemand demand) {
            List<TargetLoad> available = available();
            rule.update(available, events.nowMillis());
            updateSpeeds();
            LoadForecast forecast = forecast();
            List<TargetLoad> candidates =
                    chooser.withCapacity(
                            demand,
                            ShareTier.PROMISED,
                            available,
                            capacity,
                            forecast,
                            events.nowMillis());
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            PromptCacheLookup cacheLookup =
                    PromptCacheLookup.of(demand.chain(), available, List.of());
            return chooser.choose(
                    demand,
                    ShareTier.PROMISED,
                    candidates,
                    cacheLookup,
                    capacity,
                    forecast,
                    rule,
                    events.nowMillis());
        }

        private LoadForecast forecast() {
            double unreportedMillis =
                    addsNoise ? unreported.perTarget(scenario.engines(), events.nowMillis()) : 0;
            if (!knowledge.forecasts()) {
                return LoadForecast.ofReports(rate, unreportedMillis);
            }
            long own = 0;
            long all = 0;
            for (TargetLoad each : loads) {
                own += each.own().requests();
                all += each.totalLoad(events.nowMillis()).requests();
            }
            unreported.observeRunning(own, all - own);
            double countedMillis =
                    unreported.scaledPerTarget(scenario.engines(), events.nowMillis());
            return LoadForecast.corrected(rate, unreportedMillis, countedMillis, error);
        }

        private void updateSpeeds() {
            if (knowledge.speeds() && events.now() >= nextSpeedsAt) {
                nextSpeedsAt = events.now() + SPEED_UPDATE_MILLIS;
                RelativeSpeeds.update(
                        loads.stream().map(TargetLoad::speed).toList(), events.nowMillis());
            }
        }

        private void observeInterval(TargetLoad load, double millis) {
            intervalRate
                    .speed(millis)
                    .ifPresent(ratio -> load.speed().observe(ratio, events.nowMillis()));
        }

        /** Reports samples of speeds to all others, after the delay. */
        private void reportSpeeds() {
            if (!knowledge.speeds() || events.now() < nextNoticeAt) {
                return;
            }
            nextNoticeAt = events.now() + SPEED_NOTICE_MILLIS;
            List<TargetSpeedReport> reports = new ArrayList<>();
            for (TargetLoad each : loads) {
                each.speed().takeReport(each.target().id()).ifPresent(reports::add);
            }
            events.schedule(
                    events.now() + scenario.delayMillis(),
                    () ->
                            gateways.stream()
                                    .filter(each -> each != this)
                                    .forEach(each -> each.receiveSpeeds(reports)));
        }

        private void receiveSpeeds(List<TargetSpeedReport> reports) {
            for (TargetSpeedReport each : reports) {
                loads.get(Integer.parseInt(each.target())).speed().apply(each, events.nowMillis());
            }
        }

        private Optional<TargetLoad> leastLoaded() {
            return available().stream()
                    .min(
                            Comparator.comparingInt(
                                    each -> each.totalLoad(events.nowMillis()).requests()));
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
            events.schedule(
                    events.now() + scenario.delayMillis(), () -> reports.arrived(index, reported));
            reportSpeeds();
        }
    }
}
