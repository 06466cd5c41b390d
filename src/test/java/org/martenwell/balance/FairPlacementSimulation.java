package org.martenwell.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.fairness.FairnessReport;
import org.martenwell.fairness.ServedShare;
import org.martenwell.fairness.ServiceHistory;
import org.martenwell.fairness.TokenCounts;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.PromptPart;
import org.martenwell.route.EngineCapacity;
import org.martenwell.service.IpAddress;
import org.martenwell.share.Disposition;
import org.martenwell.share.FairShares;
import org.martenwell.share.ShareCounts;
import org.martenwell.share.ShareTier;
import org.martenwell.share.ShareUse;
import org.martenwell.simulation.SimulatedEvents;

/**
 * A discrete-event simulation of organisations that compete for engines: one whose callers are
 * spread over all gateways, one whose callers come to few of them, and small ones. It runs the
 * production shares and placement on a simulated clock; reports between gateways are delayed.
 */
final class FairPlacementSimulation {

    /**
     * A fleet and the demand in it.
     *
     * @param gateways The number of gateways.
     * @param fewGateways The number of those that callers of the concentrated organisation use.
     * @param spreadDemand The demand of the spread organisation, relative to what engines serve;
     *     callers that were refused come back and add to it.
     * @param fewDemand The demand of the concentrated one.
     * @param lossMillis The time at which a third of the engines is lost, 0 for none.
     * @param seed The seed of all draws.
     */
    record Scenario(
            int gateways,
            int fewGateways,
            double spreadDemand,
            double fewDemand,
            long lossMillis,
            long seed) {

        Scenario withSeed(long other) {
            return new Scenario(gateways, fewGateways, spreadDemand, fewDemand, lossMillis, other);
        }
    }

    /**
     * What organisations got.
     *
     * @param leastShare The least share of any organisation, as {@link FairnessReport} defines it.
     * @param served The tokens that engines began to serve since the demand rose, relative to what
     *     they can serve.
     */
    record Outcome(double leastShare, double served) {}

    private static final String SPREAD = "spread";

    private static final String FEW = "few";

    private static final int SMALL_ORGANISATIONS = 6;

    private static final double USUAL_DEMAND = 0.05;

    private static final int ENGINES = 21;

    /** The tokens that an engine serves with most of its slots in use, per millisecond. */
    private static final double ENGINE_TOKENS_PER_MILLI = 108;

    /** The part of that which the configuration promises. */
    private static final double PROMISED_PART = 0.3;

    private static final long SHARE_WINDOW_MILLIS = 4_000;

    private static final long REPORT_MILLIS = 300;

    private static final long DELAY_MILLIS = 150;

    /** The time in which the demand of the concentrated organisation rises, in milliseconds. */
    private static final double RISE_MILLIS = 5_000;

    private static final double SPREAD_BEGIN_MILLIS = 2_000;

    private static final double FEW_BEGIN_MILLIS = 4_000;

    private static final long END_MILLIS = 14_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private static final double WAIT_FRACTION = 0.2;

    private static final long RETRY_MILLIS = 10;

    /** The delay after which a caller that was refused comes back, once, in milliseconds. */
    private static final long COME_BACK_MILLIS = 400;

    private static final List<RequestKind> KINDS =
            List.of(
                    new RequestKind("report", 5_382, 40, 6_610, 0, 378, 400, 0),
                    new RequestKind("query", 198, 200, 628, 0, 288, 250, 0),
                    new RequestKind("tagging", 568, 200, 1_800, 0, 27, 300, 0));

    private static final List<Double> KIND_SHARES = List.of(0.21, 0.38, 0.41);

    private static final FleetModel MODEL =
            new FleetModel(
                    KINDS,
                    List.of(new FleetModel.Phase(0, 1, KIND_SHARES)),
                    new EngineCapacity(32, 715_203, true),
                    67,
                    157,
                    0,
                    26,
                    3.55,
                    0.046,
                    List.of(1.0),
                    false,
                    0);

    private final Scenario scenario;

    private final Random random;

    private final SimulatedEvents events = new SimulatedEvents();

    private final List<SimulatedEngine> engines = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private final ReportedLoads reports;

    private final ServiceHistory history = new ServiceHistory();

    private double servedTokens;

    private FairPlacementSimulation(Scenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.reports = new ReportedLoads(scenario.gateways(), ENGINES);
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new SequentialEngine(MODEL, events));
        }
        for (int index = 0; index < scenario.gateways(); index++) {
            gateways.add(new Gateway(index));
        }
    }

    static Outcome simulate(Scenario scenario) {
        return new FairPlacementSimulation(scenario).simulate();
    }

    private Outcome simulate() {
        arriveAll(SPREAD, SPREAD_BEGIN_MILLIS, 1, scenario.spreadDemand());
        arriveAll(FEW, FEW_BEGIN_MILLIS, RISE_MILLIS, scenario.fewDemand());
        for (int index = 0; index < SMALL_ORGANISATIONS; index++) {
            arriveAll("small-" + index, 0, 1, USUAL_DEMAND);
        }
        for (Gateway each : gateways) {
            events.repeat(
                    Math.floor(random.nextDouble() * REPORT_MILLIS),
                    REPORT_MILLIS,
                    END_MILLIS,
                    each::report);
        }
        events.run();
        double least =
                FairnessReport.of(history).leastShares().stream()
                        .mapToDouble(ServedShare::fraction)
                        .min()
                        .orElse(1);
        double most = ENGINES * ENGINE_TOKENS_PER_MILLI * (END_MILLIS - SPREAD_BEGIN_MILLIS);
        return new Outcome(least, servedTokens / most);
    }

    /** Schedules the arrivals of an organisation, whose demand begins to rise at a time. */
    private void arriveAll(
            String organisation, double beginMillis, double riseMillis, double demand) {
        double meanCost = 0;
        for (int index = 0; index < KINDS.size(); index++) {
            RequestKind kind = KINDS.get(index);
            meanCost +=
                    KIND_SHARES.get(index)
                            * EngineDemand.cost(
                                    kind.sharedTokens() + kind.ownTokens(), kind.responseTokens());
        }
        double full = ENGINES * ENGINE_TOKENS_PER_MILLI / meanCost;
        double at = 0;
        while (at < END_MILLIS) {
            double risen = Math.max(0, Math.min(1, (at - beginMillis) / riseMillis));
            double factor = USUAL_DEMAND + risen * (demand - USUAL_DEMAND);
            at -= Math.log(1 - random.nextDouble()) / (full * factor);
            events.schedule(at, () -> arrive(organisation));
        }
    }

    private void arrive(String organisation) {
        int count = organisation.equals(FEW) ? scenario.fewGateways() : gateways.size();
        new Request(gateways.get(random.nextInt(count)), organisation, kind()).arrive();
    }

    private RequestKind kind() {
        double remaining = random.nextDouble();
        for (int index = 0; index < KINDS.size(); index++) {
            remaining -= KIND_SHARES.get(index);
            if (remaining < 0) {
                return KINDS.get(index);
            }
        }
        return KINDS.get(0);
    }

    private void count(String organisation, TokenCounts counts) {
        history.add(
                new ServiceHistory.Entry(
                        events.nowMillis() / MILLIS_PER_SECOND, "all", organisation, counts));
    }

    private void countEnd(String organisation, double tokens, Disposition disposition) {
        count(organisation, new TokenCounts(0, Map.of(disposition, Math.round(tokens))));
    }

    private boolean isLost(int engine) {
        return scenario.lossMillis() > 0
                && events.nowMillis() >= scenario.lossMillis()
                && engine % 3 == 0;
    }

    /** A request and its retry. */
    private final class Request implements SimulatedRequest {

        private final Gateway gateway;

        private final String organisation;

        private final RequestKind kind;

        private final List<PromptPart> parts;

        private final int promptTokens;

        private EngineDemand demand;

        private boolean retried;

        private TargetLoad target;

        private RunningRequest running;

        private ShareTier tier = ShareTier.PROMISED;

        private Request(Gateway gateway, String organisation, RequestKind kind) {
            this.gateway = gateway;
            this.organisation = organisation;
            this.kind = kind;
            int ownTokens = kind.sampleOwnTokens(random);
            this.promptTokens = kind.sharedTokens() + ownTokens;
            this.parts =
                    List.of(
                            new PromptPart(
                                    kind.name() + random.nextInt(kind.prefixCount()),
                                    kind.sharedTokens()),
                            new PromptPart("own", ownTokens));
        }

        private void arrive() {
            demand =
                    new EngineDemand(
                            organisation,
                            PromptChain.of("m", parts),
                            promptTokens,
                            kind.responseTokens(),
                            kind.objectiveMillis(),
                            events.nowMillis());
            gateway.shares.requested(organisation, demand.cost(), events.nowMillis());
            count(organisation, new TokenCounts(Math.round(demand.cost()), Map.of()));
            place();
        }

        private void place() {
            ShareUse use = gateway.use(demand);
            tier = use.tier();
            if (use.aheadOfOthers()) {
                refuse();
                return;
            }
            Optional<EngineChoice> choice = gateway.choose(demand, use);
            if (choice.isPresent()) {
                send(choice.get());
            } else if (tier == ShareTier.BEYOND
                    || events.now() - demand.arrivedMillis()
                            >= WAIT_FRACTION * demand.objectiveMillis()) {
                refuse();
            } else {
                events.schedule(events.now() + RETRY_MILLIS, this::place);
            }
        }

        private void refuse() {
            countEnd(organisation, demand.cost(), Disposition.WAITED);
            if (!retried && events.now() < END_MILLIS) {
                retried = true;
                events.schedule(events.now() + COME_BACK_MILLIS, this::arrive);
            }
        }

        private void send(EngineChoice choice) {
            target = choice.load();
            long now = events.nowMillis();
            running =
                    new RunningRequest(
                            choice.prefillTokens(),
                            demand.ownTokens() + kind.responseTokens(),
                            now,
                            0);
            target.sent(running);
            gateway.shares.sent(organisation, demand.cost(), tier, now);
            gateway.unreported.sent(
                    EngineChooser.workMillis(
                            choice.prefillTokens() / MODEL.prefillRate(), MODEL.capacity().slots()),
                    now);
            target.promptCache().put(demand.chain(), MODEL.capacity().memoryTokens() / 2);
            int engine = Integer.parseInt(target.target().id());
            if (isLost(engine) || !engines.get(engine).accept(this, choice.prefillTokens())) {
                target.ended(running);
                gateway.shares.revertSent(organisation, demand.cost(), tier, now, now);
                refuse();
            }
        }

        @Override
        public int responseTokens() {
            return kind.responseTokens();
        }

        @Override
        public void firstEventArrived() {
            target.firstEventArrived(running);
            servedTokens += demand.cost();
            countEnd(organisation, demand.cost(), Disposition.SERVED);
        }

        @Override
        public void eventArrived() {
            // Pauses are not looked at.
        }

        @Override
        public void ended() {
            target.ended(running);
        }

        @Override
        public void lost() {
            target.ended(running);
        }
    }

    /** A simulated gateway with its view of the engines and of the shares. */
    private final class Gateway {

        private final int index;

        private final List<TargetLoad> loads = new ArrayList<>();

        private final EngineChooser chooser = new EngineChooser("domain", random);

        private final FairShares shares = new FairShares(SHARE_WINDOW_MILLIS);

        private final PrefillRate rate = new PrefillRate();

        private final UnreportedWork unreported = new UnreportedWork();

        private Gateway(int index) {
            this.index = index;
            for (int engine = 0; engine < ENGINES; engine++) {
                loads.add(
                        new TargetLoad(
                                new DirectoryTarget(
                                        Integer.toString(engine),
                                        OptionalLong.of(1),
                                        "s",
                                        IpAddress.of("127.0.0.1:1"),
                                        "domain",
                                        MODEL.capacity().slots(),
                                        false)));
            }
            unreported.updateFleet(scenario.gateways() - 1, REPORT_MILLIS / 2.0 + DELAY_MILLIS);
            for (int sample = 0; sample < 200; sample++) {
                rate.observe(new RunningRequest(100, 0, 0, 0), (long) MODEL.baseMillis());
                rate.observe(
                        new RunningRequest(6_000, 0, 0, 0),
                        (long) (MODEL.baseMillis() + 6_000 / MODEL.prefillRate()));
            }
        }

        private ShareUse use(EngineDemand demand) {
            double promised =
                    PROMISED_PART * ENGINES * ENGINE_TOKENS_PER_MILLI * SHARE_WINDOW_MILLIS;
            return shares.use(demand.organisation(), demand.cost(), promised, events.nowMillis());
        }

        private Optional<EngineChoice> choose(EngineDemand demand, ShareUse use) {
            long now = events.nowMillis();
            reports.apply(index, loads, now);
            List<TargetLoad> available = new ArrayList<>(loads);
            available.removeIf(each -> isLost(Integer.parseInt(each.target().id())));
            LoadForecast forecast =
                    LoadForecast.ofReports(rate, unreported.perTarget(available.size(), now));
            List<TargetLoad> candidates =
                    chooser.withCapacity(
                            demand, use.tier(), available, MODEL.capacity(), forecast, now);
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            return chooser.choose(
                    demand,
                    use.tier(),
                    candidates,
                    PromptCacheLookup.of(demand.chain(), available, List.of()),
                    MODEL.capacity(),
                    forecast,
                    UnrestrictedPlacement.INSTANCE,
                    now);
        }

        private void report() {
            Map<Integer, LoadSums> sums = new HashMap<>();
            for (int engine = 0; engine < ENGINES; engine++) {
                sums.put(engine, loads.get(engine).own());
            }
            ShareCounts counts = shares.own(events.nowMillis());
            events.schedule(
                    events.now() + DELAY_MILLIS,
                    () -> {
                        reports.arrived(index, sums);
                        for (Gateway each : gateways) {
                            if (each != this) {
                                each.shares.applyPeerReport(
                                        "g" + index, counts, events.nowMillis());
                            }
                        }
                    });
        }
    }
}
