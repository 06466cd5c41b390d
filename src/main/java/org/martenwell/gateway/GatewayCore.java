package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.martenwell.admission.FleetRetryBudget;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.EngineChooser;
import org.martenwell.balance.EngineReserve;
import org.martenwell.balance.ServiceChooser;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.UnreportedWork;
import org.martenwell.exchange.ResponseMemory;
import org.martenwell.observe.ProcessUsage;
import org.martenwell.prompt.PromptChain;
import org.martenwell.prompt.SharedKeys;
import org.martenwell.quarantine.FingerprintFunction;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.RouteTable;
import org.martenwell.route.ServiceConfiguration;
import org.martenwell.route.WarmUpLimit;
import org.martenwell.service.ResponsiveClock;
import org.martenwell.settings.GatewayFeature;
import org.martenwell.settings.GatewaySettings;
import org.martenwell.settings.ProcessorSettings;
import org.martenwell.share.AdmissionShares;
import org.martenwell.share.DispositionCounts;
import org.martenwell.share.FairShares;
import org.martenwell.share.ShareSums;

/** The state that all requests of a gateway share. */
final class GatewayCore {

    /** The fraction of an engine's KV cache that always counts as prompt cache, as a divisor. */
    private static final int MIN_CACHE_DIVISOR = 5;

    /** The most changes of prompt caches that are queued for the next report to peers. */
    private static final int MAX_PENDING_PARTS = 8_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final NioReactor reactor;

    /** The clock of timeouts for targets, peers and the directory. */
    private final ResponsiveClock clock;

    private final RequestDialect dialect;

    private final TargetTable targets;

    private final FairShares shares;

    /** Counts what became of the requests of each organisation, for the log. */
    private final DispositionCounts dispositions = new DispositionCounts();

    /** The length of the fair-share window, in milliseconds. */
    private final long shareWindowMillis;

    /** Chooses an engine for each model request. */
    private final EngineChooser engineChooser;

    /** The rules by which prompts of each service are placed. */
    private final PlacementRules placements;

    /** Estimates the work that peers have sent to engines since their last reports. */
    private final UnreportedWork unreportedWork = new UnreportedWork();

    /** The routing of requests to plain services, by service. */
    private final Map<String, PlainRouting> plainRoutings = new HashMap<>();

    /** The mean age of the peers' reports, in milliseconds. */
    private double reportAgeMillis;

    /** Reserves engines for requests within fair shares. */
    private final EngineReserve reserve = new EngineReserve();

    /** Chooses a target for each request to a plain service. */
    private final ServiceChooser serviceChooser;

    /** Limits retries to a fraction of the fleet's requests. */
    private final FleetRetryBudget retryBudget;

    /** Randomizes balancing, retry and refusal decisions. */
    private final Random random;

    private final EngineQueue queue;

    private final GatewayLog log;

    /** The active configuration, {@code null} before the first one arrives. */
    private GatewayConfiguration configuration;

    /** The routes of the active configuration. */
    private RouteTable routes = new RouteTable(List.of());

    /** The changes of prompt caches since the last report to peers. */
    private List<CachedPartUpdate> cacheUpdates = new ArrayList<>();

    private final SharedKeys sharedKeys = new SharedKeys();

    /** Computes the fingerprints by which gateways recognise identical requests. */
    private final FingerprintFunction fingerprints;

    private final HarmfulRequests harmful;

    private final StreamVersions streams;

    /** The number of gateways in the fleet, including this one. */
    private int members = 1;

    /** The number of requests in progress. */
    private int activeRequests;

    private final HeapMonitor heap;

    private final LoopLagLimiter loopLag;

    private final ProcessorLimiter processor;

    private final OverloadLimiter overload;

    private final CapacityExchange capacities;

    private final Set<GatewayFeature> features;

    /** The offloading of requests to peers, empty if it isn't enabled. */
    private final Optional<Offloading> offloading;

    /** The speeds of engines, empty if they are not estimated. */
    private final Optional<TargetSpeeds> targetSpeeds;

    private final LoadForecasts loadForecasts;

    /** Bounds the memory of responses that are not complete. */
    private final ResponseMemory responseMemory = ResponseMemory.ofHeap();

    /** Set shortly before the gateway exits, when new requests are refused. */
    private boolean closing;

    /**
     * Creates the state of a gateway without a configuration.
     *
     * @param reactor The event loop.
     * @param dialect The HTTP formats of callers and targets.
     * @param settings The gateway's settings.
     * @param random Randomizes balancing, retry and refusal decisions.
     * @param log Receives metrics and log events.
     */
    GatewayCore(
            NioReactor reactor,
            RequestDialect dialect,
            GatewaySettings settings,
            Random random,
            GatewayLog log) {
        this.reactor = reactor;
        this.clock = new ResponsiveClock(reactor);
        this.dialect = dialect;
        this.random = random;
        this.log = log;
        this.features = settings.features().orElse(Set.of());
        this.capacities = new CapacityExchange(settings.name());
        this.harmful =
                new HarmfulRequests(reactor, settings.name(), log, Clock.systemUTC(), random);
        this.streams = new StreamVersions(reactor);
        log.metrics().registerGauge("stream_origins", streams::size);
        log.metrics().registerGauge("stream_retention_millis", streams::retentionMillis);
        log.metrics().registerGauge("target_versions", streams::versions);
        this.targets =
                new TargetTable(
                        reactor,
                        settings.name(),
                        new TargetEventHandler(
                                reactor,
                                dialect,
                                harmful,
                                streams,
                                log.targets(),
                                Clock.systemUTC()));
        if (settings.enables(GatewayFeature.REUSE_CONNECTIONS)) {
            targets.preferIdleConnections();
        }
        this.shareWindowMillis = settings.shareWindowMillis();
        this.shares = new FairShares(shareWindowMillis);
        log.metrics().registerGauge("tokens_charged", this::chargedTokens);
        log.metrics().registerGauge("tokens_requested", this::requestedTokens);
        log.metrics().registerGauge("response_bytes_kept", responseMemory::usedBytes);
        log.metrics().registerGauge("configuration_version", this::configurationVersion);
        log.metrics().registerGauge("service_time_millis", this::maxServiceMillis);
        log.metrics().registerGauge("prefill_nanos_per_token", targets::maxPrefillNanosPerToken);
        this.targetSpeeds =
                enables(GatewayFeature.TARGET_SPEEDS)
                        ? Optional.of(new TargetSpeeds(reactor, targets, capacities))
                        : Optional.empty();
        targetSpeeds.ifPresent(this::registerSpeedGauges);
        this.loadForecasts =
                new LoadForecasts(enables(GatewayFeature.LOAD_FORECAST), unreportedWork);
        log.metrics().registerGauge("load_forecast_percent", loadForecasts::maxFactorPercent);
        this.fingerprints = new FingerprintFunction(settings.peerKey());
        this.placements =
                new PlacementRules(
                        enables(GatewayFeature.SEPARATE_LONG_PROMPTS),
                        load -> load.speed().factor());
        log.metrics().registerGauge("prefill_interference_millis", placements::meanMillis);
        this.engineChooser = new EngineChooser(settings.failureDomain(), random);
        this.serviceChooser = new ServiceChooser(settings.failureDomain(), random);
        this.retryBudget =
                new FleetRetryBudget(
                        settings.retryShare(),
                        settings.retryAllowance(),
                        settings.retryWindowMillis(),
                        reactor.currentTimeMillis());
        this.queue = new EngineQueue(reactor);
        this.heap = HeapMonitor.of(reactor, log);
        this.loopLag = new LoopLagLimiter(reactor);
        this.processor =
                new ProcessorLimiter(
                        reactor,
                        settings.processor().orElse(ProcessorSettings.WHOLE).processors(),
                        ProcessUsage::processorMillis,
                        loopLag::meanMillis);
        this.overload =
                new OverloadLimiter(
                        heap::nearlyFull,
                        loopLag::refusedFraction,
                        processor::refusedFraction,
                        new AdmissionShares(
                                name -> shares.servedElsewhere(name, windowTokens(), now())),
                        random);
        this.offloading =
                settings.enables(GatewayFeature.OFFLOAD)
                        ? Optional.of(
                                new Offloading(
                                        settings,
                                        () -> closing || overload.refusing(),
                                        reactor::currentTimeMillis,
                                        random::nextDouble))
                        : Optional.empty();
        offloading.ifPresent(each -> each.register(processor, capacities, log));
    }

    private void registerSpeedGauges(TargetSpeeds speeds) {
        log.metrics().registerGauge("slowest_target_speed", speeds::slowestThousandths);
        log.metrics().registerGauge("fastest_target_speed", speeds::fastestThousandths);
    }

    /**
     * Activates a configuration.
     *
     * @param changed The configuration.
     */
    void configure(GatewayConfiguration changed) {
        configuration = changed;
        routes = new RouteTable(changed.routes());
        Map<String, WarmUpLimit> limits = new HashMap<>();
        changed.services().forEach((name, service) -> limits.put(name, service.warmUp()));
        targets.setWarmUpLimits(limits);
        streams.configure(changed);
    }

    /** {@return the active configuration, empty before the first one arrives} */
    Optional<GatewayConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /** {@return the version of the active configuration, 0 if there is none} */
    long configurationVersion() {
        return configuration == null ? 0 : configuration.version();
    }

    /** {@return the routes of the active configuration} */
    RouteTable routes() {
        return routes;
    }

    /**
     * Returns whether an optional behaviour is enabled.
     *
     * @param feature The behaviour.
     * @return {@code true} if the settings name it.
     */
    boolean enables(GatewayFeature feature) {
        return features.contains(feature);
    }

    /** {@return the exchange of capacity notices with peers} */
    CapacityExchange capacities() {
        return capacities;
    }

    /** {@return the offloading of requests to peers, empty if it isn't enabled} */
    Optional<Offloading> offloading() {
        return offloading;
    }

    /** {@return the speeds of engines, empty if they are not estimated} */
    Optional<TargetSpeeds> targetSpeeds() {
        return targetSpeeds;
    }

    /** {@return the event loop} */
    NioReactor reactor() {
        return reactor;
    }

    /** {@return the event loop's current time, in milliseconds} */
    long now() {
        return reactor.currentTimeMillis();
    }

    /** {@return the clock of timeouts for targets, peers and the directory} */
    ResponsiveClock clock() {
        return clock;
    }

    /** {@return the HTTP formats of callers and targets} */
    RequestDialect dialect() {
        return dialect;
    }

    /** {@return the table of known targets} */
    TargetTable targets() {
        return targets;
    }

    /** {@return the fair-share accounts of organisations} */
    FairShares shares() {
        return shares;
    }

    /** {@return the tokens charged at this gateway to all organisations in the last window} */
    private long chargedTokens() {
        double charged =
                shares.own(now()).sums().values().stream().mapToDouble(ShareSums::sent).sum();
        return Math.round(charged);
    }

    /** {@return the tokens requested at this gateway by all organisations in the last window} */
    private long requestedTokens() {
        double requested =
                shares.own(now()).sums().values().stream().mapToDouble(ShareSums::requested).sum();
        return Math.round(requested);
    }

    /** {@return the counts of what became of the requests of each organisation} */
    DispositionCounts dispositions() {
        return dispositions;
    }

    /**
     * {@return the fleet's capacity per fair-share window, in tokens; infinite if the configuration
     * sets none}
     */
    double windowTokens() {
        long promised = promisedTokens();
        return promised == 0
                ? Double.POSITIVE_INFINITY
                : promised * (shareWindowMillis / MILLIS_PER_SECOND);
    }

    /**
     * {@return the fleet's configured capacity in tokens per second, 0 if the configuration sets
     * none}
     */
    private long promisedTokens() {
        return configuration().map(GatewayConfiguration::tokensPerSecond).orElse(0L);
    }

    /** {@return the chooser of engines} */
    EngineChooser engineChooser() {
        return engineChooser;
    }

    /** {@return the rules by which prompts are placed} */
    PlacementRules placements() {
        return placements;
    }

    /**
     * {@return the estimate of the work that peers have sent to engines since their last reports}
     */
    UnreportedWork unreportedWork() {
        return unreportedWork;
    }

    /** {@return the forecasts of the load of engines} */
    LoadForecasts loadForecasts() {
        return loadForecasts;
    }

    /**
     * Returns the routing of requests to a plain service.
     *
     * @param service The name of the service.
     * @return The routing.
     */
    PlainRouting plainRouting(String service) {
        return plainRoutings.computeIfAbsent(
                service,
                name -> {
                    PlainRouting created = new PlainRouting(serviceChooser, random);
                    created.updateFleet(members - 1, reportAgeMillis);
                    return created;
                });
    }

    /** {@return the reservation of engines for requests within fair shares} */
    EngineReserve reserve() {
        return reserve;
    }

    /**
     * {@return the demand of organisations within their fair shares, in tokens of capacity per
     * millisecond; 0 if the configuration sets no capacity}
     */
    double tokensWithinShares() {
        return promisedTokens() * shares.promisedDemand() / MILLIS_PER_SECOND;
    }

    /** {@return the chooser of targets of plain services} */
    ServiceChooser serviceChooser() {
        return serviceChooser;
    }

    /** {@return the queue of requests that wait for an engine} */
    EngineQueue queue() {
        return queue;
    }

    /** {@return the metrics and the event log} */
    GatewayLog log() {
        return log;
    }

    /** {@return a random number from 0 (inclusive) to 1 (exclusive)} */
    double random() {
        return random.nextDouble();
    }

    /** {@return the function that computes the fingerprints of requests} */
    FingerprintFunction fingerprints() {
        return fingerprints;
    }

    /** {@return the quarantine of requests that crash targets} */
    HarmfulRequests harmful() {
        return harmful;
    }

    /** {@return the versions at which streams began} */
    StreamVersions streams() {
        return streams;
    }

    /** Counts a first attempt, which adds to the retry budget. */
    void countFirstAttempt() {
        retryBudget.countFirstAttempt(now());
    }

    /**
     * Takes a retry from the budget.
     *
     * @return {@code true} if the retry is allowed.
     */
    boolean takeRetry() {
        return retryBudget.takeRetry(members, now());
    }

    /**
     * Updates the size of the fleet, on which the retry budget and the load estimates depend.
     *
     * @param count The number of gateways, including this one.
     * @param ageMillis The mean age of the peers' reports, in milliseconds.
     */
    void updateFleet(int count, double ageMillis) {
        members = count;
        reportAgeMillis = ageMillis;
        unreportedWork.updateFleet(count - 1, ageMillis);
        plainRoutings.values().forEach(each -> each.updateFleet(count - 1, ageMillis));
    }

    private long maxServiceMillis() {
        return plainRoutings.values().stream()
                .mapToLong(PlainRouting::serviceMillis)
                .max()
                .orElse(0);
    }

    /** {@return the number of gateways in the fleet, including this one} */
    int members() {
        return members;
    }

    /** {@return the keys of prompt parts that several requests share} */
    SharedKeys sharedKeys() {
        return sharedKeys;
    }

    /**
     * Queues all parts of a prompt for the next report to peers, as cached by a target.
     *
     * @param target The target's incarnation.
     * @param chain The shared parts of the prompt.
     */
    void queueCacheUpdate(String target, PromptChain chain) {
        for (int index = 0; index < chain.length(); index++) {
            queueCacheUpdate(new CachedPartUpdate(target, chain.key(index), chain.tokens(index)));
        }
    }

    /**
     * Queues a change of a target's prompt cache for the next report to peers. Discarded if the
     * queue is full.
     *
     * @param part The part that is cached or no longer cached.
     */
    void queueCacheUpdate(CachedPartUpdate part) {
        if (cacheUpdates.size() < MAX_PENDING_PARTS) {
            cacheUpdates.add(part);
        }
    }

    /**
     * Returns the capacity of an engine's prompt cache beside the requests that it runs.
     *
     * @param load The target.
     * @return The capacity in tokens, 0 for a target of a plain service.
     */
    long promptCacheCapacity(TargetLoad load) {
        return configuration()
                .flatMap(each -> each.service(load.target().service()))
                .flatMap(ServiceConfiguration::engine)
                .map(engine -> promptCacheCapacity(engine, load))
                .orElse(0L);
    }

    /**
     * Returns the capacity of an engine's prompt cache: the part of its KV cache that running
     * requests leave free, but at least a fixed fraction.
     *
     * @param engine The engine's configured capacity.
     * @param load The engine.
     * @return The capacity in tokens.
     */
    private long promptCacheCapacity(EngineCapacity engine, TargetLoad load) {
        long free = engine.memoryTokens() - load.totalLoad(now()).memoryTokens();
        return Math.max(engine.memoryTokens() / MIN_CACHE_DIVISOR, free);
    }

    /**
     * Removes and returns the queued changes of prompt caches.
     *
     * @return The changes since the last call.
     */
    List<CachedPartUpdate> takeCacheUpdates() {
        List<CachedPartUpdate> taken = cacheUpdates;
        cacheUpdates = new ArrayList<>();
        return taken;
    }

    /** Refuses new requests from now on; called shortly before the gateway exits. */
    void close() {
        closing = true;
    }

    /** {@return the monitor of the heap} */
    HeapMonitor heap() {
        return heap;
    }

    /** {@return the limiter that refuses requests while the event loop lags} */
    LoopLagLimiter loopLag() {
        return loopLag;
    }

    /** {@return the limiter that refuses requests while the box grants no more processor time} */
    ProcessorLimiter processor() {
        return processor;
    }

    /** {@return the bound on the memory of responses that are not complete} */
    ResponseMemory responseMemory() {
        return responseMemory;
    }

    /** {@return the limiter that refuses requests at the limits of this gateway} */
    OverloadLimiter overload() {
        return overload;
    }

    /** {@return {@code true} if new requests are refused because the gateway is about to exit} */
    boolean closing() {
        return closing;
    }

    /** Counts a request as in progress. */
    void beginRequest() {
        activeRequests++;
    }

    /** Counts a request as finished. */
    void endRequest() {
        activeRequests--;
    }

    /** {@return the number of requests in progress} */
    int activeRequests() {
        return activeRequests;
    }
}
