package org.martenwell.daemon;

import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.admission.AdmissionControl;
import org.martenwell.caller.CallerServlet;
import org.martenwell.caller.ModelEndpoint;
import org.martenwell.caller.RequestAdmission;
import org.martenwell.caller.RequestChecker;
import org.martenwell.caller.ServiceEndpoint;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Target;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.member.CoordinatorAssignment;
import org.martenwell.member.CoordinatorCandidate;
import org.martenwell.member.Heartbeat;
import org.martenwell.member.Member;
import org.martenwell.member.Membership;
import org.martenwell.member.MembershipChange;
import org.martenwell.member.MembershipParameters;
import org.martenwell.member.WatcherSelection;
import org.martenwell.message.PeerMessage;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxRole;
import org.martenwell.objects.BoxState;
import org.martenwell.objects.HttpPlatform;
import org.martenwell.objects.Platform;
import org.martenwell.observe.LogEvent;
import org.martenwell.once.ClaimLedger;
import org.martenwell.operator.OperatedRouter;
import org.martenwell.operator.OperatorServlet;
import org.martenwell.peer.ConfigurationRequest;
import org.martenwell.peer.ConfigurationResponse;
import org.martenwell.peer.PeerListener;
import org.martenwell.peer.PeerNetwork;
import org.martenwell.peer.PeerTraffic;
import org.martenwell.peer.TargetNotice;
import org.martenwell.router.ConfigurationApplier;
import org.martenwell.router.ConfigurationStore;
import org.martenwell.router.DrainReport;
import org.martenwell.router.FleetScheduler;
import org.martenwell.router.IdempotencyGuard;
import org.martenwell.router.MessageSender;
import org.martenwell.router.PlatformFollower;
import org.martenwell.router.Readiness;
import org.martenwell.router.RequestDispatcher;
import org.martenwell.router.RouterIntervals;
import org.martenwell.router.RouterMetrics;
import org.martenwell.router.RouterStatus;
import org.martenwell.router.TargetMonitor;
import org.martenwell.router.Ticker;
import org.martenwell.schedule.CoordinatorReference;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;
import org.martenwell.service.IpAddress;
import org.martenwell.service.ManagedService;
import org.martenwell.service.ServerStarter;
import org.martenwell.settings.RouterLimits;
import org.martenwell.settings.RouterSettings;
import org.martenwell.target.HttpTargetConnector;

/** One router with all its parts, in one loop. */
public final class RouterDaemon
        implements ManagedService, PeerListener, MessageSender, OperatedRouter {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(RouterDaemon.class);

    /** The longest that a caller's connection takes for one message, in minutes. */
    private static final long MESSAGE_MINUTES = 15;

    /** How often a draining router looks whether it is done. */
    private static final Duration IDLE_CHECK = Duration.ofMillis(50);

    /** The loop. */
    private final NioReactor reactor;

    /** The settings. */
    private final RouterSettings settings;

    /** This router's incarnation. */
    private final long incarnation;

    /** Sends requests over connections that are used again. */
    private final AsyncHttpClient pooled;

    /** Sends requests over connections of their own. */
    private final AsyncHttpClient single;

    /** The platform. */
    private final Platform platform;

    /** The connections with peers. */
    private final PeerNetwork network;

    /** Who is a member. */
    private final Membership membership;

    /** The scheduling decisions. */
    private final FleetScheduler scheduler;

    /** Watches targets. */
    private final TargetMonitor monitor;

    /** The configuration in force. */
    private final ConfigurationStore store;

    /** Follows the platform. */
    private final PlatformFollower follower;

    /** Brings requests to targets. */
    private final RequestDispatcher dispatcher;

    /** The claims of requests that must not run twice. */
    private final ClaimLedger ledger;

    /** Decides whether requests are taken. */
    private final Readiness readiness;

    /** Counts what happens. */
    private final RouterMetrics metrics = new RouterMetrics();

    /** Does things now and then. */
    private final Ticker ticker;

    /** Takes callers' requests. */
    private final HttpServer callerServer;

    /** Takes operators' requests. */
    private final HttpServer operatorServer;

    /** Changes the configuration. */
    private final ConfigurationApplier applier;

    /** What keepers were last assigned from, or {@code null} if none were. */
    private AssignmentInput assigned;

    /** The number of the last heartbeat. */
    private long heartbeats;

    /** Completes when the router has drained; {@code null} until then. */
    private Promise<DrainReport> draining;

    /**
     * Creates a router that does not run yet.
     *
     * @param reactor The loop.
     * @param settings The settings.
     * @param parameters The numbers that tune scheduling.
     * @param seed Seeds what is random, such as jitter.
     */
    public RouterDaemon(
            NioReactor reactor,
            RouterSettings settings,
            SchedulingParameters parameters,
            long seed) {
        this.reactor = reactor;
        this.settings = settings;
        RouterLimits limits = settings.effectiveLimits();
        incarnation = reactor.currentTimeMillis();
        Random random = new Random(seed);
        pooled = AsyncHttpClient.pooled(reactor, limits.maxBodyBytes());
        single = AsyncHttpClient.single(reactor, limits.maxBodyBytes());
        platform = new HttpPlatform(pooled, settings.platformAddress());
        network =
                new PeerNetwork(reactor, settings.peerAddress(), settings.peerKey(), random, this);
        membership = new Membership(settings.name(), MembershipParameters.DEFAULTS);
        scheduler = new FleetScheduler(reactor, settings.name(), incarnation, parameters, this);
        HttpTargetConnector connector = new HttpTargetConnector(pooled, single);
        monitor = new TargetMonitor(reactor, connector, scheduler, this);
        store = new ConfigurationStore(this::inForce);
        follower =
                new PlatformFollower(reactor, platform, store, this::watches, this::listed, random);
        readiness = new Readiness(reactor.currentTimeMillis());
        ticker = new Ticker(reactor);
        AdmissionControl control =
                new AdmissionControl(limits.maxWaiting(), limits.maxWaitingBytes());
        dispatcher =
                new RequestDispatcher(
                        reactor, settings.name(), scheduler, connector, control, monitor, metrics);
        ledger = new ClaimLedger(platform, reactor::currentTimeMillis, random);
        applier = new ConfigurationApplier(reactor, settings.name(), platform, store, membership);
        callerServer = callerServer(limits, control);
        operatorServer =
                HttpServer.builder(reactor, new OperatorServlet(this, applier, settings))
                        .withListenAddress(IpAddress.of(settings.operatorAddress()))
                        .withMaxBodySize(limits.maxBodyBytes())
                        .build();
        registerGauges();
    }

    @Override
    public Promise<Void> start() {
        return network.start()
                .then(() -> ServerStarter.start(operatorServer))
                .then(() -> ServerStarter.start(callerServer))
                .then(follower::start)
                .whenResult(this::startTicking);
    }

    @Override
    public Promise<Void> stop() {
        ticker.stop();
        readiness.close();
        return follower.stop()
                .then(() -> callerServer.close())
                .then(() -> operatorServer.close())
                .then(network::stop)
                .then(pooled::stop)
                .then(single::stop);
    }

    @Override
    public Promise<DrainReport> drain() {
        if (draining == null) {
            LOGGER.info(LogEvent.of("drain").with("router", settings.name()).message());
            readiness.drain();
            reassign();
            beat();
            long deadline =
                    reactor.currentTimeMillis()
                            + settings.effectiveLimits().balancerMillis()
                            + settings.effectiveLimits().drainMillis();
            draining =
                    Promises.delay(Duration.ofMillis(settings.effectiveLimits().balancerMillis()))
                            .whenResult(readiness::close)
                            .then(() -> awaitIdle(deadline));
        }
        return draining;
    }

    @Override
    public RouterStatus status() {
        Map<String, Long> members = new TreeMap<>();
        for (Member member : membership.others().values()) {
            members.put(member.name(), member.heartbeat().configurationVersion());
        }
        Map<String, Double> served = new TreeMap<>();
        for (String organisation : scheduler.counters().organisations()) {
            served.put(organisation, scheduler.counters().served(organisation));
        }
        return new RouterStatus(
                settings.name(),
                ready(),
                store.version(),
                members,
                new TreeSet<>(scheduler.coordinator().coordinatedTargets()),
                scheduler.slots().running(),
                scheduler.slots().waiting(),
                served);
    }

    @Override
    public boolean ready() {
        return readiness.ready(store.active().isPresent(), reactor.currentTimeMillis());
    }

    @Override
    public RouterMetrics metrics() {
        return metrics;
    }

    @Override
    public Optional<ConfigurationResponse> configuration() {
        return store.active()
                .map(active -> new ConfigurationResponse(active.version(), store.text()));
    }

    /**
     * Returns the address where callers are served.
     *
     * @return The address, with the port that the system chose if the settings left it open.
     */
    public InetSocketAddress callerAddress() {
        return callerServer.getBoundAddresses().get(0);
    }

    /**
     * Returns the counters of traffic with peers.
     *
     * @return The counters.
     */
    public PeerTraffic traffic() {
        return network.traffic();
    }

    @Override
    public void send(String peer, PeerMessage message) {
        network.send(peer, message);
    }

    @Override
    public void broadcast(PeerMessage message) {
        network.broadcast(message);
    }

    @Override
    public void peerConnected(String peer) {
        network.send(peer, heartbeat());
        scheduler.peerConnected(peer);
    }

    @Override
    public void receive(PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            receive(heartbeat);
        } else if (message instanceof ServiceReport report) {
            scheduler.receive(report);
        } else if (message instanceof SlotReport report) {
            scheduler.receive(report);
        } else if (message instanceof SlotGrants grants) {
            scheduler.receive(grants);
        } else if (message instanceof TargetNotice notice) {
            monitor.receive(notice);
        } else if (message instanceof ConfigurationRequest request) {
            if (store.version() > request.newerThan()) {
                network.send(
                        request.router(), new ConfigurationResponse(store.version(), store.text()));
            }
        } else if (message instanceof ConfigurationResponse answer) {
            store.offer(answer.version(), answer.text());
        }
    }

    /**
     * Takes in a peer's heartbeat.
     *
     * @param heartbeat The heartbeat.
     */
    private void receive(Heartbeat heartbeat) {
        boolean changed = membership.applyHeartbeat(heartbeat, reactor.currentTimeMillis());
        if (heartbeat.configurationVersion() > store.version()) {
            network.send(
                    heartbeat.router(), new ConfigurationRequest(settings.name(), store.version()));
        }
        if (changed) {
            LOGGER.info(
                    LogEvent.of("member")
                            .with("member", heartbeat.router())
                            .with("incarnation", heartbeat.incarnation())
                            .with("ready", heartbeat.ready())
                            .message());
            network.setPeers(membership.addresses());
            reassign();
        }
    }

    /**
     * Creates the server for callers.
     *
     * @param limits The limits.
     * @param control Bounds rates and waiting.
     * @return The server.
     */
    private HttpServer callerServer(RouterLimits limits, AdmissionControl control) {
        RequestAdmission admission =
                new RequestAdmission(reactor, this::requireConfiguration, control);
        CallerServlet servlet =
                new CallerServlet(
                        new RequestChecker(limits.maxBodyBytes()),
                        new ModelEndpoint(admission, dispatcher, limits.maxBodyBytes()),
                        new ServiceEndpoint(
                                admission,
                                dispatcher,
                                new IdempotencyGuard(ledger, dispatcher),
                                reactor::currentTimeMillis,
                                limits.maxBodyBytes()),
                        metrics);
        return HttpServer.builder(reactor, servlet)
                .withListenAddress(IpAddress.of(settings.callerAddress()))
                .withMaxBodySize(limits.maxBodyBytes())
                .withReadWriteTimeout(Duration.ofMinutes(MESSAGE_MINUTES))
                .withAcceptFilter(
                        (address, local, remote, secure) ->
                                this.callerServer != null
                                        && this.callerServer.getConnectionsCount()
                                                >= limits.maxConnections())
                .build();
    }

    /** Starts what is done now and then. */
    private void startTicking() {
        RouterIntervals times = RouterIntervals.DEFAULTS;
        ticker.every(MembershipParameters.DEFAULTS.heartbeatMillis(), this::beat);
        ticker.every(MembershipParameters.DEFAULTS.heartbeatMillis() / 2, this::expire);
        ticker.every(times.countersMillis(), scheduler::exchangeCounters);
        ticker.every(times.maintainMillis(), scheduler::maintain);
        ticker.every(times.meterMillis(), dispatcher::recordElapsedService);
        ticker.every(times.pollMillis(), monitor::poll);
        settings.seedPeers().ifPresent(this::seed);
    }

    /**
     * Calls the peers named in the settings, until the platform's list or their heartbeats tell
     * more.
     *
     * @param addresses Their addresses.
     */
    private void seed(List<String> addresses) {
        network.setPeers(
                addresses.stream()
                        .filter(address -> !address.equals(settings.peerAddress()))
                        .collect(Collectors.toMap(address -> address, address -> address)));
    }

    /** Tells all peers of this router. */
    private void beat() {
        network.broadcast(heartbeat());
    }

    /**
     * Builds the next heartbeat.
     *
     * @return The heartbeat.
     */
    private Heartbeat heartbeat() {
        heartbeats++;
        return new Heartbeat(
                settings.name(),
                incarnation,
                heartbeats,
                settings.peerAddress(),
                settings.failureDomain(),
                ready(),
                store.version());
    }

    /** Suspects and removes members whose heartbeats are late. */
    private void expire() {
        long now = reactor.currentTimeMillis();
        MembershipChange change = membership.expire(now);
        Set<String> listed = membership.listedRouters();
        long heard = listed.stream().filter(name -> membership.find(name).isPresent()).count();
        readiness.updateContact(follower.lastResponseAt(), listed.size(), (int) heard, now);
        if (change.hasChanges()) {
            LOGGER.info(LogEvent.of("members").with("removed", change.removed()).message());
            scheduler.removeMembers(change.removed());
            reassign();
        }
    }

    /**
     * Takes in the platform's list.
     *
     * @param boxes The boxes.
     */
    private void listed(List<Box> boxes) {
        membership.replaceListedRouters(boxes);
        network.setPeers(membership.addresses());
        monitor.setDraining(
                boxes.stream()
                        .filter(box -> box.role() == BoxRole.TARGET)
                        .filter(box -> box.state() == BoxState.LEAVING)
                        .map(Box::name)
                        .collect(Collectors.toSet()));
    }

    /**
     * Puts a configuration in force.
     *
     * @param configuration The configuration.
     */
    private void inForce(ActiveConfiguration configuration) {
        scheduler.configure(configuration);
        reassign();
        beat();
    }

    /** Assigns keepers to targets anew, if targets or members changed. */
    private void reassign() {
        if (store.active().isEmpty()) {
            return;
        }
        List<Target> targets = store.active().get().configuration().targets();
        List<CoordinatorCandidate> candidates = new ArrayList<>();
        if (ready()) {
            candidates.add(
                    new CoordinatorCandidate(
                            settings.name(), incarnation, settings.failureDomain()));
        }
        for (Member member : membership.others().values()) {
            Heartbeat heartbeat = member.heartbeat();
            if (heartbeat.ready()) {
                candidates.add(
                        new CoordinatorCandidate(
                                member.name(), heartbeat.incarnation(), heartbeat.failureDomain()));
            }
        }
        AssignmentInput input = new AssignmentInput(targets, candidates, membership.names());
        if (input.equals(assigned)) {
            return;
        }
        assigned = input;
        Map<String, CoordinatorReference> coordinators =
                CoordinatorAssignment.INSTANCE.assign(targets, candidates);
        scheduler.assign(targets, coordinators, membership.names());
        monitor.setTargets(targets);
    }

    /**
     * Returns whether this router watches the platform for its failure domain.
     *
     * @return {@code true} if it does.
     */
    private boolean watches() {
        List<String> domain = new ArrayList<>();
        domain.add(settings.name());
        for (Member member : membership.others().values()) {
            if (member.heartbeat().failureDomain().equals(settings.failureDomain())) {
                domain.add(member.name());
            }
        }
        return WatcherSelection.INSTANCE.watches(settings.name(), domain);
    }

    /**
     * Returns the configuration in force, or throws an exception if no requests are taken.
     *
     * @return The configuration.
     */
    private ActiveConfiguration requireConfiguration() {
        readiness.requireAcceptingRequests(store.active().isPresent(), reactor.currentTimeMillis());
        return store.active().orElseThrow();
    }

    /**
     * Waits until nothing runs and nothing waits.
     *
     * @param deadline When to stop waiting.
     * @return What was still there.
     */
    private Promise<DrainReport> awaitIdle(long deadline) {
        return Promises.repeat(
                        () -> {
                            boolean late = reactor.currentTimeMillis() >= deadline;
                            return present().clean() || late
                                    ? Promise.of(false)
                                    : Promises.delay(IDLE_CHECK).map(any -> true);
                        })
                .map(any -> present());
    }

    /**
     * Returns what is still there.
     *
     * @return The requests that run and wait.
     */
    private DrainReport present() {
        return new DrainReport(scheduler.slots().running(), scheduler.slots().waiting());
    }

    /** Registers the numbers that are read when asked for. */
    private void registerGauges() {
        metrics.gauge("configuration_version", store::version);
        metrics.gauge("members", () -> membership.names().size());
        metrics.gauge("requests_running", () -> scheduler.slots().running());
        metrics.gauge("requests_waiting", () -> scheduler.slots().waiting());
        metrics.gauge("targets_kept", () -> scheduler.coordinator().coordinatedTargets().size());
        metrics.gauge("peer_bytes_sent", () -> network.traffic().bytesSent());
        metrics.gauge("peer_messages_sent", () -> network.traffic().messagesSent());
        metrics.gauge("peer_bytes_received", () -> network.traffic().bytesReceived());
        metrics.gauge("peer_frames_refused", () -> network.traffic().rejectedFrames());
        metrics.gauge("platform_calls", platform::callCount);
        metrics.gauge("retries", () -> dispatcher.retryBudget().retries());
    }
}
