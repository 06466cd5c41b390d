package org.martenwell.daemon;

import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
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
import org.martenwell.operator.OperatorServlet;
import org.martenwell.operator.RouterControl;
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
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.ResponsiveClock;
import org.martenwell.service.ServerStarter;
import org.martenwell.settings.RouterLimits;
import org.martenwell.settings.RouterSettings;
import org.martenwell.target.HttpTargetConnector;

/** A router process. All parts run on one event loop, so they need no locks. */
public final class RouterDaemon
        implements ManagedService, PeerListener, MessageSender, RouterControl {

    private static final Logger LOGGER = LogManager.getLogger(RouterDaemon.class);

    /** The timeout for reading or writing one message on a caller's connection, in minutes. */
    private static final long MESSAGE_TIMEOUT_MINUTES = 15;

    /** The interval at which a draining router checks for remaining requests. */
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** The time in which the last responses are written at the end of a drain. */
    private static final Duration RESPONSE_INTERVAL = Duration.ofMillis(200);

    private final NioReactor reactor;

    private final RouterSettings settings;

    /**
     * The start time in milliseconds, which distinguishes this run of the router from earlier ones.
     */
    private final long incarnation;

    /** The clock of timeouts for what other processes send. */
    private final ResponsiveClock clock;

    /** The client of targets and of the platform, which opens a connection for each request. */
    private final AsyncHttpClient client;

    private final Platform platform;

    private final PeerNetwork network;

    private final Membership membership;

    private final FleetScheduler scheduler;

    private final TargetMonitor monitor;

    private final ConfigurationStore store;

    private final PlatformFollower follower;

    private final RequestDispatcher dispatcher;

    /** The claims of requests with an idempotency key. */
    private final ClaimLedger ledger;

    private final Readiness readiness;

    private final RouterMetrics metrics = new RouterMetrics();

    private final Ticker ticker;

    private final CallerServlet servlet;

    private final HttpServer callerServer;

    private final HttpServer operatorServer;

    private final ConfigurationApplier applier;

    /** The input of the last assignment of coordinators, or {@code null} before the first one. */
    private AssignmentInput lastAssignment;

    /** The sequence number of the last heartbeat sent. */
    private long heartbeatNumber;

    /** The result of the drain, or {@code null} if none was requested. */
    private Promise<DrainReport> drainResult;

    /**
     * Creates a router; {@link #start} opens its ports.
     *
     * @param reactor The event loop that runs all parts.
     * @param settings The settings.
     * @param parameters The parameters of scheduling.
     * @param seed The seed of jitter and other random choices.
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
        clock = new ResponsiveClock(reactor);
        client = AsyncHttpClient.single(reactor, clock::millis, limits.maxBodyBytes());
        platform = new HttpPlatform(client, settings.platformAddress());
        network =
                new PeerNetwork(reactor, settings.peerAddress(), settings.peerKey(), random, this);
        membership = new Membership(settings.name(), MembershipParameters.DEFAULTS);
        scheduler = new FleetScheduler(reactor, settings.name(), incarnation, parameters, this);
        HttpTargetConnector connector = new HttpTargetConnector(client);
        monitor = new TargetMonitor(reactor, connector, scheduler, this);
        store = new ConfigurationStore(this::activate);
        follower =
                new PlatformFollower(
                        reactor,
                        platform,
                        store,
                        this::watchesPlatform,
                        this::applyListedBoxes,
                        random);
        readiness = new Readiness(reactor.currentTimeMillis());
        ticker = new Ticker(reactor);
        AdmissionControl control =
                new AdmissionControl(limits.maxWaiting(), limits.maxWaitingBytes());
        dispatcher =
                new RequestDispatcher(
                        reactor,
                        clock::millis,
                        settings.name(),
                        scheduler,
                        connector,
                        control,
                        monitor,
                        metrics);
        ledger = new ClaimLedger(platform, reactor::currentTimeMillis, random);
        applier = new ConfigurationApplier(reactor, settings.name(), platform, store, membership);
        servlet = createServlet(limits, control);
        callerServer = createCallerServer(limits);
        operatorServer =
                HttpServer.builder(reactor, new OperatorServlet(this, applier, settings))
                        .withListenAddress(IpAddress.of(settings.operatorAddress()))
                        .withMaxBodySize(limits.maxBodyBytes())
                        .build();
        registerGauges();
    }

    @Override
    public Promise<Void> start() {
        return clock.start()
                .then(network::start)
                .then(() -> ServerStarter.start(operatorServer))
                .then(() -> ServerStarter.start(callerServer))
                .then(follower::start)
                .whenResult(this::startPeriodicTasks);
    }

    @Override
    public Promise<Void> stop() {
        ticker.stop();
        readiness.close();
        return follower.stop()
                .then(() -> callerServer.close())
                .then(() -> operatorServer.close())
                .then(network::stop)
                .then(client::stop)
                .then(clock::stop)
                .then(this::awaitReleasedPorts);
    }

    /** Waits for the event loop's next selection, which releases the ports of closed servers. */
    private Promise<Void> awaitReleasedPorts() {
        SettablePromise<Void> released = new SettablePromise<>();
        ResponseTimeout.afterNextRead(reactor, () -> released.set(null));
        return released;
    }

    @Override
    public Promise<DrainReport> drain() {
        if (drainResult == null) {
            LOGGER.info(LogEvent.of("drain").with("router", settings.name()).message());
            readiness.drain();
            reassignCoordinators();
            broadcastHeartbeat();
            long deadline =
                    reactor.currentTimeMillis()
                            + settings.effectiveLimits().balancerMillis()
                            + settings.effectiveLimits().drainMillis();
            drainResult =
                    Promises.delay(Duration.ofMillis(settings.effectiveLimits().balancerMillis()))
                            .whenResult(readiness::close)
                            .then(() -> awaitIdle(deadline))
                            .then(this::failRemaining);
        }
        return drainResult;
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
     * {@return the address that accepts callers' connections, with the port that the system chose
     * if the settings leave it open}
     */
    public InetSocketAddress callerAddress() {
        return callerServer.getBoundAddresses().get(0);
    }

    /** {@return the counters of messages and bytes exchanged with peers} */
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
            applyHeartbeat(heartbeat);
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
        } else if (message instanceof ConfigurationResponse response) {
            store.offer(response.version(), response.text());
        }
    }

    private void applyHeartbeat(Heartbeat heartbeat) {
        boolean changed = membership.applyHeartbeat(heartbeat, clock.millis());
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
            reassignCoordinators();
        }
    }

    private CallerServlet createServlet(RouterLimits limits, AdmissionControl control) {
        RequestAdmission admission =
                new RequestAdmission(reactor, this::requireConfiguration, control);
        return new CallerServlet(
                new RequestChecker(limits.maxBodyBytes()),
                new ModelEndpoint(admission, dispatcher, limits.maxBodyBytes()),
                new ServiceEndpoint(
                        admission,
                        dispatcher,
                        new IdempotencyGuard(ledger, dispatcher),
                        reactor::currentTimeMillis,
                        limits.maxBodyBytes()),
                metrics,
                dispatcher.sentRequests());
    }

    private HttpServer createCallerServer(RouterLimits limits) {
        return HttpServer.builder(reactor, servlet)
                .withListenAddress(IpAddress.of(settings.callerAddress()))
                .withMaxBodySize(limits.maxBodyBytes())
                .withReadWriteTimeout(Duration.ofMinutes(MESSAGE_TIMEOUT_MINUTES))
                .withAcceptFilter(
                        (address, local, remote, secure) ->
                                this.callerServer != null
                                        && this.callerServer.getConnectionsCount()
                                                >= limits.maxConnections())
                .build();
    }

    private void startPeriodicTasks() {
        RouterIntervals intervals = RouterIntervals.DEFAULTS;
        ticker.every(MembershipParameters.DEFAULTS.heartbeatMillis(), this::broadcastHeartbeat);
        ticker.every(MembershipParameters.DEFAULTS.heartbeatMillis() / 2, this::scheduleExpiry);
        ticker.every(intervals.countersMillis(), scheduler::exchangeCounters);
        ticker.every(intervals.maintainMillis(), scheduler::maintain);
        ticker.every(intervals.meterMillis(), dispatcher::recordElapsedService);
        ticker.every(intervals.pollMillis(), monitor::poll);
        settings.seedPeers().ifPresent(this::connectToSeedPeers);
    }

    /**
     * Connects to the peers named in the settings; the platform's list and heartbeats replace them
     * later.
     *
     * @param addresses The addresses, possibly with this router's own.
     */
    private void connectToSeedPeers(List<String> addresses) {
        network.setPeers(
                addresses.stream()
                        .filter(address -> !address.equals(settings.peerAddress()))
                        .collect(Collectors.toMap(address -> address, address -> address)));
    }

    private void broadcastHeartbeat() {
        network.broadcast(heartbeat());
    }

    private Heartbeat heartbeat() {
        heartbeatNumber++;
        return new Heartbeat(
                settings.name(),
                incarnation,
                heartbeatNumber,
                settings.peerAddress(),
                settings.failureDomain(),
                ready(),
                store.version());
    }

    /** Looks for overdue heartbeats once those that have arrived are read. */
    private void scheduleExpiry() {
        ResponseTimeout.afterNextRead(reactor, this::expireMembers);
    }

    /** Removes members whose heartbeats are overdue and updates the router's readiness. */
    private void expireMembers() {
        long now = reactor.currentTimeMillis();
        MembershipChange change = membership.expire(clock.millis());
        Set<String> listed = membership.listedRouters();
        long joined = listed.stream().filter(name -> membership.find(name).isPresent()).count();
        readiness.updateContact(follower.lastResponseAt(), listed.size(), (int) joined, now);
        if (change.hasChanges()) {
            LOGGER.info(LogEvent.of("members").with("removed", change.removed()).message());
            scheduler.removeMembers(change.removed());
            reassignCoordinators();
        }
    }

    /**
     * Applies the boxes that the platform lists: routers become expected members, draining targets
     * get no new requests.
     *
     * @param boxes All boxes of the fleet.
     */
    private void applyListedBoxes(List<Box> boxes) {
        membership.replaceListedRouters(boxes);
        network.setPeers(membership.addresses());
        monitor.setDraining(
                boxes.stream()
                        .filter(box -> box.role() == BoxRole.TARGET)
                        .filter(box -> box.state() == BoxState.LEAVING)
                        .map(Box::name)
                        .collect(Collectors.toSet()));
    }

    private void activate(ActiveConfiguration configuration) {
        scheduler.configure(configuration);
        reassignCoordinators();
        broadcastHeartbeat();
    }

    /**
     * Assigns coordinators to targets if the targets, the candidates or the members have changed.
     */
    private void reassignCoordinators() {
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
        if (input.equals(lastAssignment)) {
            return;
        }
        lastAssignment = input;
        Map<String, CoordinatorReference> coordinators =
                CoordinatorAssignment.INSTANCE.assign(targets, candidates);
        scheduler.assign(targets, coordinators, membership.names());
        monitor.setTargets(targets);
    }

    /**
     * Checks whether this router is one of those that watch the platform for their failure domain.
     *
     * @return {@code true} if it is.
     */
    private boolean watchesPlatform() {
        List<String> routersOfDomain = new ArrayList<>();
        routersOfDomain.add(settings.name());
        for (Member member : membership.others().values()) {
            if (member.heartbeat().failureDomain().equals(settings.failureDomain())) {
                routersOfDomain.add(member.name());
            }
        }
        return WatcherSelection.INSTANCE.watches(settings.name(), routersOfDomain);
    }

    /**
     * Returns the active configuration.
     *
     * @return The configuration.
     * @throws org.martenwell.error.MartenwellException If the router doesn't accept requests.
     */
    private ActiveConfiguration requireConfiguration() {
        readiness.requireAcceptingRequests(store.active().isPresent(), reactor.currentTimeMillis());
        return store.active().orElseThrow();
    }

    /**
     * Waits until no request is running or waiting.
     *
     * @param deadline The time at which to stop waiting, in milliseconds.
     * @return The numbers of requests that remain, all 0 unless the deadline has passed.
     */
    private Promise<DrainReport> awaitIdle(long deadline) {
        return Promises.repeat(
                        () -> {
                            boolean expired = reactor.currentTimeMillis() >= deadline;
                            return remainingRequests().clean() || expired
                                    ? Promise.of(false)
                                    : Promises.delay(IDLE_CHECK_INTERVAL).map(any -> true);
                        })
                .map(any -> remainingRequests());
    }

    /** Responds to the requests that remain at the limit of the drain, and writes this. */
    private Promise<DrainReport> failRemaining(DrainReport remaining) {
        if (remaining.clean()) {
            return Promise.of(remaining);
        }
        servlet.failUnanswered();
        return Promises.delay(RESPONSE_INTERVAL).map(any -> remaining);
    }

    private DrainReport remainingRequests() {
        int running = scheduler.slots().running();
        int withoutSlot = servlet.unanswered() - running;
        return new DrainReport(running, Math.max(scheduler.slots().waiting(), withoutSlot));
    }

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
