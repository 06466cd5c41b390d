package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.martenwell.admission.FleetRetryBudget;
import org.martenwell.balance.EngineChooser;
import org.martenwell.balance.EngineReserve;
import org.martenwell.balance.PlacedPart;
import org.martenwell.balance.ServiceChooser;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.UnseenWork;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.SharedKeys;
import org.martenwell.quarantine.FingerprintFunction;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.RouteTable;
import org.martenwell.route.ServiceConfiguration;
import org.martenwell.settings.GatewaySettings;
import org.martenwell.share.FairShares;

/** What all requests of a gateway share. */
final class GatewayCore {

    /** What part of an engine's memory holds shared parts at least: one in so many. */
    private static final int LEAST_KEPT_PART = 5;

    /** The most placed parts that wait to be told to peers. */
    private static final int MAX_PLACED = 8_000;

    /** How many milliseconds a second has. */
    private static final double SECOND_MILLIS = 1_000;

    /** The loop. */
    private final NioReactor reactor;

    /** The formats of callers and targets. */
    private final RequestDialect dialect;

    /** The targets. */
    private final TargetTable targets;

    /** Fair shares. */
    private final FairShares shares;

    /** The length of the window of fair shares, in milliseconds. */
    private final long shareWindowMillis;

    /** Chooses engines. */
    private final EngineChooser engines;

    /** Estimates what peers put on engines since they last told of it. */
    private final UnseenWork unseen = new UnseenWork();

    /** Keeps engines for requests within fair shares. */
    private final EngineReserve reserve = new EngineReserve();

    /** Chooses targets of plain services. */
    private final ServiceChooser services;

    /** Bounds retries. */
    private final FleetRetryBudget retries;

    /** Spreads choices. */
    private final Random random;

    /** Requests that wait for an engine. */
    private final EngineQueue queue;

    /** Counts and logs what becomes of requests. */
    private final GatewayLog log;

    /** The configuration in force or {@code null}. */
    private GatewayConfiguration configuration;

    /** The routes in force. */
    private RouteTable routes = new RouteTable(List.of());

    /** The parts that targets keep since the last report to peers. */
    private List<PlacedPart> placed = new ArrayList<>();

    /** The parts that requests have shared. */
    private final SharedKeys sharedKeys = new SharedKeys();

    /** Tells requests that are the same. */
    private final FingerprintFunction fingerprints;

    /** Holds back requests under which targets end. */
    private final HarmfulRequests harmful;

    /** How many gateways the fleet has. */
    private int members = 1;

    /** How many requests are being served. */
    private int serving;

    /** Notices that the heap is nearly full. */
    private final HeapWatch heap;

    /** Notices that the loop is behind. */
    private final LoopPressure pressure;

    /** Whether new requests are refused, because the gateway is about to end. */
    private boolean closing;

    /**
     * Creates a core that knows no configuration.
     *
     * @param reactor The loop.
     * @param dialect The formats of callers and targets.
     * @param settings The gateway's settings.
     * @param random Spreads choices.
     * @param log Counts and logs what becomes of requests.
     */
    GatewayCore(
            NioReactor reactor,
            RequestDialect dialect,
            GatewaySettings settings,
            Random random,
            GatewayLog log) {
        this.reactor = reactor;
        this.dialect = dialect;
        this.random = random;
        this.log = log;
        this.harmful =
                new HarmfulRequests(reactor, settings.name(), log, Clock.systemUTC(), random);
        this.targets =
                new TargetTable(
                        reactor,
                        new TargetNotices(reactor, dialect, harmful, log, Clock.systemUTC()));
        this.shareWindowMillis = settings.shareWindowMillis();
        this.shares = new FairShares(shareWindowMillis);
        this.fingerprints = new FingerprintFunction(settings.peerKey());
        this.engines = new EngineChooser(settings.failureDomain(), random);
        this.services = new ServiceChooser(settings.failureDomain());
        this.retries =
                new FleetRetryBudget(
                        settings.retryShare(),
                        settings.retryAllowance(),
                        settings.retryWindowMillis(),
                        reactor.currentTimeMillis());
        this.queue = new EngineQueue(reactor);
        this.heap = HeapWatch.of(reactor, log);
        this.pressure = new LoopPressure(reactor, random);
    }

    /**
     * Puts a configuration in force.
     *
     * @param changed The configuration.
     */
    void configure(GatewayConfiguration changed) {
        configuration = changed;
        routes = new RouteTable(changed.routes());
    }

    /**
     * Returns the configuration in force.
     *
     * @return The configuration or empty if none is known.
     */
    Optional<GatewayConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return The version, 0 if none is known.
     */
    long version() {
        return configuration == null ? 0 : configuration.version();
    }

    /**
     * Returns the routes in force.
     *
     * @return The routes.
     */
    RouteTable routes() {
        return routes;
    }

    /**
     * Returns the loop.
     *
     * @return The loop.
     */
    NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the present time.
     *
     * @return The time in milliseconds.
     */
    long now() {
        return reactor.currentTimeMillis();
    }

    /**
     * Returns the formats of callers and targets.
     *
     * @return The formats.
     */
    RequestDialect dialect() {
        return dialect;
    }

    /**
     * Returns the targets.
     *
     * @return The targets.
     */
    TargetTable targets() {
        return targets;
    }

    /**
     * Returns fair shares.
     *
     * @return The shares.
     */
    FairShares shares() {
        return shares;
    }

    /**
     * Returns what the fleet produces in a window of fair shares.
     *
     * @return The capacity in tokens; infinite if the configuration does not say.
     */
    double windowTokens() {
        long promised = promisedTokens();
        return promised == 0
                ? Double.POSITIVE_INFINITY
                : promised * (shareWindowMillis / SECOND_MILLIS);
    }

    /**
     * Returns what the fleet is promised to produce.
     *
     * @return The capacity in tokens a second, 0 if the configuration does not say.
     */
    private long promisedTokens() {
        return configuration().map(GatewayConfiguration::tokensPerSecond).orElse(0L);
    }

    /**
     * Returns the chooser of engines.
     *
     * @return The chooser.
     */
    EngineChooser engines() {
        return engines;
    }

    /**
     * Returns what estimates the work that peers put on engines unseen.
     *
     * @return The estimate.
     */
    UnseenWork unseen() {
        return unseen;
    }

    /**
     * Returns what keeps engines for requests within fair shares.
     *
     * @return The reserve.
     */
    EngineReserve reserve() {
        return reserve;
    }

    /**
     * Returns what organisations ask within their fair shares.
     *
     * @return The tokens of capacity a millisecond, 0 if the configuration promises no capacity.
     */
    double tokensWithinShares() {
        return promisedTokens() * shares.askedWithin() / SECOND_MILLIS;
    }

    /**
     * Returns the chooser of targets of plain services.
     *
     * @return The chooser.
     */
    ServiceChooser services() {
        return services;
    }

    /**
     * Returns the queue of requests that wait for an engine.
     *
     * @return The queue.
     */
    EngineQueue queue() {
        return queue;
    }

    /**
     * Returns what counts and logs what becomes of requests.
     *
     * @return The log.
     */
    GatewayLog log() {
        return log;
    }

    /**
     * Returns a random number.
     *
     * @return The number, from 0 (inclusive) to 1 (exclusive).
     */
    double random() {
        return random.nextDouble();
    }

    /**
     * Returns what tells requests that are the same.
     *
     * @return The function.
     */
    FingerprintFunction fingerprints() {
        return fingerprints;
    }

    /**
     * Returns what holds back requests under which targets end.
     *
     * @return What does.
     */
    HarmfulRequests harmful() {
        return harmful;
    }

    /** Counts a request that is sent for the first time. */
    void countFirstAttempt() {
        retries.countFirstAttempt(now());
    }

    /**
     * Takes a retry from the budget.
     *
     * @return {@code true} if it is allowed.
     */
    boolean takeRetry() {
        return retries.takeRetry(members, now());
    }

    /**
     * Changes the fleet.
     *
     * @param count How many gateways it has, this one among them.
     * @param ageMillis How old what they tell of each other is on average, in milliseconds.
     */
    void fleet(int count, double ageMillis) {
        members = count;
        unseen.fleet(count - 1, ageMillis);
    }

    /**
     * Returns how many gateways the fleet has.
     *
     * @return The number of gateways, this one among them.
     */
    int members() {
        return members;
    }

    /**
     * Returns the parts that requests have shared.
     *
     * @return The keys.
     */
    SharedKeys sharedKeys() {
        return sharedKeys;
    }

    /**
     * Notes that a target keeps the parts of a prompt.
     *
     * @param target The target's life.
     * @param chain The parts.
     */
    void placed(String target, PromptChain chain) {
        for (int index = 0; index < chain.length(); index++) {
            placed(new PlacedPart(target, chain.key(index), chain.tokens(index)));
        }
    }

    /**
     * Notes that a target keeps a part.
     *
     * @param part The part.
     */
    void placed(PlacedPart part) {
        if (placed.size() < MAX_PLACED) {
            placed.add(part);
        }
    }

    /**
     * Returns how many tokens of shared parts an engine keeps beside what it runs.
     *
     * @param load The engine.
     * @return The capacity in tokens, 0 for a target of a plain service.
     */
    long keptCapacity(TargetLoad load) {
        return configuration()
                .flatMap(each -> each.service(load.target().service()))
                .flatMap(ServiceConfiguration::engine)
                .map(engine -> keptCapacity(engine, load))
                .orElse(0L);
    }

    /**
     * Returns how many tokens of shared parts an engine keeps beside what it runs.
     *
     * @param engine What it holds.
     * @param load The engine.
     * @return The capacity in tokens.
     */
    private long keptCapacity(EngineCapacity engine, TargetLoad load) {
        long free = engine.memoryTokens() - load.all(now()).memoryTokens();
        return Math.max(engine.memoryTokens() / LEAST_KEPT_PART, free);
    }

    /**
     * Takes the parts that targets keep since the last call.
     *
     * @return The parts.
     */
    List<PlacedPart> takePlaced() {
        List<PlacedPart> taken = placed;
        placed = new ArrayList<>();
        return taken;
    }

    /** Refuses new requests from now on, because the gateway is about to end. */
    void close() {
        closing = true;
    }

    /**
     * Returns what notices that the heap is nearly full.
     *
     * @return The watch.
     */
    HeapWatch heap() {
        return heap;
    }

    /**
     * Returns what notices that the loop is behind.
     *
     * @return The measure.
     */
    LoopPressure pressure() {
        return pressure;
    }

    /**
     * Returns whether new requests are refused.
     *
     * @return {@code true} if the gateway is about to end.
     */
    boolean closing() {
        return closing;
    }

    /** Notes that a request is being served. */
    void begin() {
        serving++;
    }

    /** Notes that a request is no longer served. */
    void end() {
        serving--;
    }

    /**
     * Returns how many requests are being served.
     *
     * @return The number of requests.
     */
    int serving() {
        return serving;
    }
}
