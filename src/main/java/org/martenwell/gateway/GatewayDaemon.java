package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.martenwell.directory.DirectoryListener;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.directory.GatewayMember;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.CallerMemory;
import org.martenwell.exchange.CallerServer;
import org.martenwell.observe.Defects;
import org.martenwell.observe.ProcessUsage;
import org.martenwell.observe.PrometheusText;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.service.IpAddress;
import org.martenwell.service.ManagedService;
import org.martenwell.settings.GatewaySettings;

/**
 * The gateway process: starts its servers, its directory client and its peer connections, and shuts
 * them down gracefully.
 */
public final class GatewayDaemon implements ManagedService, DirectoryListener {

    /** The time that the load balancer has to notice a failed readiness check, in milliseconds. */
    private static final long BALANCER_DETECTION_MILLIS = 2_500;

    /** The margin between the end of a shutdown and its deadline, in milliseconds. */
    private static final long STOP_MARGIN_MILLIS = 500;

    /** The interval at which a shutdown checks for requests in progress, in milliseconds. */
    private static final long DRAIN_CHECK_MILLIS = 50;

    /** The minimum interval at which a gateway that shuts down lists its peers, in milliseconds. */
    private static final long MEMBERS_MILLIS = 500;

    /**
     * The part of this interval for each gateway of the fleet, in milliseconds; it bounds the lists
     * of a fleet that shuts down.
     */
    private static final long MEMBERS_MILLIS_PER_GATEWAY = 100;

    /** The memory for callers of the readiness check, and for those of metrics, in bytes. */
    private static final long CHECK_BYTES = 1 << 20;

    private static final String METRICS_TYPE = "text/plain; version=0.0.4";

    private static final int OK = 200;

    private static final int UNAVAILABLE = 503;

    private static final int NOT_FOUND = 404;

    private final NioReactor reactor;

    private final GatewaySettings settings;

    private final Deployment deployment;

    private final GatewayCore core;

    private final CallerServer callers;

    /** Serves the readiness check of the load balancer. */
    private final CallerServer readiness;

    /** Serves metrics, if the settings name an address for them. */
    private final Optional<CallerServer> metrics;

    /** Exchanges reports with peers. */
    private final PeerReporter peerReporter;

    private final OffloadExchange offload;

    private final FleetDirectory directory;

    private final GatewayLog log;

    private final StateLog stateLog;

    /** Loads the contents of prompt caches once after the start. */
    private final CachedPartsLoader cachedPartsLoader;

    /** Follows the changes of prompt caches. */
    private final CachedPartsFollower cachedPartsFollower;

    /** The names of all gateways, including this one. */
    private Set<String> gateways = Set.of();

    /** Set once the loading of prompt caches is scheduled. */
    private boolean cachedPartsRequested;

    /** Set once the directory has listed the targets. */
    private boolean targetsKnown;

    private boolean stopping;

    /** The time at which a gateway that shuts down last read its peers, in milliseconds. */
    private long membersReadMillis;

    /** The interval at which it reads them, in milliseconds. */
    private long membersIntervalMillis;

    /**
     * Creates a gateway.
     *
     * @param reactor The event loop.
     * @param settings The settings.
     * @param random Randomizes balancing, retry and refusal decisions.
     */
    public GatewayDaemon(NioReactor reactor, GatewaySettings settings, Random random) {
        this(reactor, settings, random, GatewayDaemon::offloadTargets);
    }

    private static OffloadTargets offloadTargets(GatewayCore core) {
        return core.offloading()
                .<OffloadTargets>map(Offloading::decision)
                .orElse(NoOffloadTargets.INSTANCE);
    }

    /**
     * Creates a gateway with a choice of the gateways that requests are offloaded to.
     *
     * @param reactor The event loop.
     * @param settings The settings.
     * @param random Randomizes balancing, retry and refusal decisions.
     * @param targets Creates the choice.
     */
    GatewayDaemon(
            NioReactor reactor,
            GatewaySettings settings,
            Random random,
            Function<GatewayCore, OffloadTargets> targets) {
        this.reactor = reactor;
        this.settings = settings;
        this.deployment = Deployment.named(settings.deployment());
        this.log = new GatewayLog(reactor);
        this.core = new GatewayCore(reactor, deployment.dialect(), settings, random, log);
        this.callers =
                new CallerServer(
                        reactor,
                        core.clock(),
                        IpAddress.of(settings.callerAddress()),
                        this::serveCaller);
        DescriptorBudget.maxCallers(ProcessUsage.descriptorLimit())
                .ifPresent(callers::setMaxConnections);
        CallerMemory memory = CallerMemory.ofHeap();
        callers.setMemory(memory);
        log.metrics().registerGauge("caller_bytes_kept", memory::keptBytes);
        log.metrics().registerGauge("requests_refused_memory", memory::refusals);
        log.metrics().registerGauge("connections_closed_at_limit", callers::closedAtLimit);
        log.metrics().registerGauge("connections_refused_unread", callers::refusedUnread);
        log.metrics().registerGauge("defects", Defects::count);
        callers.onClose(
                closed ->
                        log.connectionClosed(
                                closed,
                                () ->
                                        closed.unanswered()
                                                .map(core.dialect()::read)
                                                .flatMap(RequestMetadata::requestId)));
        core.loopLag().observeUnread(callers::unreadMillis);
        this.readiness =
                new CallerServer(
                        reactor,
                        core.clock(),
                        IpAddress.of(settings.readinessAddress()),
                        this::serveBalancer);
        readiness.setMemory(new CallerMemory(CHECK_BYTES));
        this.metrics =
                settings.metricsAddress()
                        .map(IpAddress::of)
                        .map(
                                address ->
                                        new CallerServer(
                                                reactor,
                                                core.clock(),
                                                address,
                                                this::serveMetrics));
        metrics.ifPresent(each -> each.setMemory(new CallerMemory(CHECK_BYTES)));
        this.peerReporter = new PeerReporter(reactor, settings, core, random);
        this.offload =
                new OffloadExchange(
                        core,
                        settings.name(),
                        targets.apply(core),
                        peerReporter.offloadLinks(),
                        drainMillis());
        peerReporter.offload(offload);
        this.stateLog =
                new StateLog(
                        reactor,
                        core,
                        settings.name(),
                        callers::connections,
                        peerReporter::informationAge);
        this.directory = deployment.directory(reactor, core.clock()::millis, settings, this);
        this.cachedPartsLoader = new CachedPartsLoader(core, settings.name());
        this.cachedPartsFollower = new CachedPartsFollower(core, peerReporter.livePeers());
        peerReporter.directory(directory);
        core.harmful().directory(directory);
    }

    @Override
    public Promise<Void> start() {
        log.changed("gateway-start", settings.name());
        return core.clock()
                .start()
                .then(readiness::start)
                .then(callers::start)
                .then(() -> metrics.map(CallerServer::start).orElseGet(Promise::complete))
                .then(peerReporter::start)
                .then(directory::start)
                .then(cachedPartsFollower::start)
                .then(core.heap()::start)
                .then(core.loopLag()::start)
                .then(core.processor()::start)
                .then(stateLog::start)
                .whenResult(() -> log.changed("gateway-listening", settings.callerAddress()));
    }

    @Override
    public Promise<Void> stop() {
        stopping = true;
        core.offloading().ifPresent(Offloading::stop);
        offload.stop();
        core.targets().close();
        return cachedPartsFollower
                .stop()
                .then(stateLog::stop)
                .then(core.processor()::stop)
                .then(core.loopLag()::stop)
                .then(core.heap()::stop)
                .then(directory::stop)
                .then(peerReporter::stop)
                .then(callers::stop)
                .then(() -> metrics.map(CallerServer::stop).orElseGet(Promise::complete))
                .then(readiness::stop)
                .then(core.clock()::stop)
                .whenResult(() -> log.changed("gateway-stopped", settings.name()));
    }

    /**
     * Shuts down gracefully: fails the readiness check, waits for the load balancer to notice, lets
     * requests in progress finish, and closes idle connections.
     *
     * @return Completes when no request is in progress or the deadline has passed.
     */
    public Promise<Void> drain() {
        stopping = true;
        core.offloading().ifPresent(Offloading::stop);
        offload.close();
        log.changed("gateway-drain", core.activeRequests());
        callers.drain();
        directory.leave();
        SettablePromise<Void> done = new SettablePromise<>();
        long startMillis = reactor.currentTimeMillis();
        membersReadMillis = startMillis;
        membersIntervalMillis =
                Math.max(MEMBERS_MILLIS, MEMBERS_MILLIS_PER_GATEWAY * gateways.size());
        reactor.delay(DRAIN_CHECK_MILLIS, () -> checkDrained(startMillis, done));
        return done;
    }

    /** Returns the time after which a shutdown ends the requests in progress, in milliseconds. */
    private long drainMillis() {
        return settings.stopMillis() - STOP_MARGIN_MILLIS;
    }

    /**
     * Completes a shutdown that is finished or has timed out; otherwise checks again later.
     *
     * @param startMillis The time at which the shutdown began, in milliseconds.
     * @param done Completed when the shutdown ends.
     */
    private void checkDrained(long startMillis, SettablePromise<Void> done) {
        long elapsed = reactor.currentTimeMillis() - startMillis;
        boolean balancerNoticed =
                elapsed >= Math.min(BALANCER_DETECTION_MILLIS, settings.stopMillis() / 2);
        boolean timedOut = elapsed >= drainMillis();
        if (balancerNoticed) {
            core.close();
            callers.closeIdle();
        }
        readMembersIfDue();
        boolean idle =
                core.activeRequests() == 0 && !callers.transferring() && !callers.expectsRequests();
        if (timedOut || (balancerNoticed && idle)) {
            done.set(null);
        } else {
            reactor.delay(DRAIN_CHECK_MILLIS, () -> checkDrained(startMillis, done));
        }
    }

    /**
     * Lists the gateways more often than usual, to connect to those that start meanwhile: they find
     * no gateway that shuts down in the directory.
     */
    private void readMembersIfDue() {
        if (reactor.currentTimeMillis() - membersReadMillis >= membersIntervalMillis) {
            membersReadMillis = reactor.currentTimeMillis();
            directory.refreshMembers();
        }
    }

    @Override
    public void configurationChanged(
            GatewayConfiguration configuration, String document, Optional<String> peer) {
        log.configured(configuration.version(), configuration.limits(), peer);
        core.configure(configuration);
        callers.setLimits(configuration.limits());
        peerReporter.document(document);
        loadCachedParts();
    }

    /** Schedules the loading of prompt caches once the directory is known. */
    private void loadCachedParts() {
        if (!cachedPartsRequested && informed()) {
            cachedPartsRequested = true;
            reactor.delayBackground(
                    CachedPartsLoader.STARTUP_DELAY_MILLIS, () -> cachedPartsLoader.load(gateways));
        }
    }

    @Override
    public void targetsChanged(Map<String, DirectoryTarget> targets, long asOfMillis) {
        targetsKnown = true;
        core.targets().update(targets, asOfMillis);
        core.streams().list(targets.values(), asOfMillis);
        log.changed("targets", targets.size());
        loadCachedParts();
    }

    @Override
    public void evacuationsChanged(Set<String> failureDomains) {
        core.targets().setEvacuated(failureDomains);
        log.changed("evacuations", failureDomains);
    }

    @Override
    public void entryUnreadable(String name, String reason) {
        log.unreadable(name, reason);
    }

    @Override
    public void membersChanged(Map<String, GatewayMember> members) {
        log.changed("members", members.keySet());
        gateways = members.keySet();
        core.targets().setGateways(gateways);
        peerReporter.members(members);
    }

    @Override
    public void quarantinedRequestsChanged(Map<Fingerprint, QuarantinedRequest> requests) {
        core.harmful().applyStored(requests);
    }

    /**
     * Returns whether the gateway accepts new connections.
     *
     * @return {@code true} if it has a configuration, targets and the streams that its peers know,
     *     and is not shutting down.
     */
    private boolean ready() {
        return informed() && peerReporter.originsReceived();
    }

    private boolean informed() {
        return !stopping && targetsKnown && core.configuration().isPresent();
    }

    /**
     * Offloads or dispatches a caller's request.
     *
     * @param exchange The request.
     */
    private void serveCaller(CallerExchange exchange) {
        if (!offload.offload(exchange)) {
            new RequestDispatch(core, exchange).start();
        }
    }

    /**
     * Responds with all metrics in the Prometheus text format.
     *
     * @param exchange The request.
     */
    private void serveMetrics(CallerExchange exchange) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, METRICS_TYPE);
        String text = PrometheusText.of(log.metrics());
        exchange.respond(OK, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Responds to the readiness check of the load balancer.
     *
     * @param exchange The request.
     */
    private void serveBalancer(CallerExchange exchange) {
        int status = NOT_FOUND;
        if (exchange.request().path().equals(deployment.readinessPath())) {
            status = ready() ? OK : UNAVAILABLE;
        }
        exchange.respond(
                status, DefaultHttpHeadersFactory.headersFactory().newHeaders(), new byte[0]);
    }
}
