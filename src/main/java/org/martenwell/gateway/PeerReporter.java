package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.directory.GatewayMember;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.ConfigurationRequest;
import org.martenwell.peer.ConfigurationResponse;
import org.martenwell.peer.OffloadMessage;
import org.martenwell.peer.PeerListener;
import org.martenwell.peer.PeerNetwork;
import org.martenwell.peer.ReportBatches;
import org.martenwell.peer.StreamOriginDenial;
import org.martenwell.peer.StreamOriginNotice;
import org.martenwell.peer.StreamOriginRequest;
import org.martenwell.peer.StreamOriginsSent;
import org.martenwell.peer.TargetNotice;
import org.martenwell.peer.VersionNotice;
import org.martenwell.peer.VersionRecordNotice;
import org.martenwell.service.ManagedService;
import org.martenwell.settings.GatewaySettings;

/**
 * Exchanges reports with the other gateways: loads, fair shares, contents of prompt caches,
 * draining and departed targets, and quarantined requests.
 */
final class PeerReporter implements ManagedService, PeerListener {

    /** The interval of the check for dead gateways, in milliseconds. */
    private static final long MEMBER_CHECK_MILLIS = 5_000;

    /** The delay of an urgent report, which lets it include further changes, in milliseconds. */
    private static final long COALESCE_MILLIS = 5;

    /**
     * The least interval of urgent reports, in milliseconds. Limits the messages when many targets
     * crash at once.
     */
    private static final long MIN_URGENT_MILLIS = 100;

    /** The number of gateways that send the contents of prompt caches to one that starts. */
    private static final int SNAPSHOT_SENDERS = 3;

    private final NioReactor reactor;

    private final String name;

    private final GatewayCore core;

    private final PeerNetwork network;

    /** The directory, set before the start. */
    private FleetDirectory directory;

    /** The document of the active configuration. */
    private String document = "";

    /** Decides when to request a newer configuration from a peer. */
    private final ConfigurationCatchUp catchUp;

    /** Tracks the peers that reported recently. */
    private final LivePeers livePeers;

    /** Detects gateways that terminated without removing their directory entry. */
    private final DeadMemberDetector deadMemberDetector = new DeadMemberDetector();

    /** The time of the last report of any peer, initially of the start, in milliseconds. */
    private long lastReportMillis;

    private final ReportBuilder reportBuilder;

    private final ReportReceiver reportReceiver;

    private final UnlistedPeers unlistedPeers = new UnlistedPeers();

    private final ReportTopology topology;

    private Map<String, String> addresses = Map.of();

    /** The incarnations of the gateways that have reported directly. */
    private final Map<String, Long> incarnations = new HashMap<>();

    private final RelayedReports relayedReports;

    private final DuplicateUpdateFilter duplicateFilter = new DuplicateUpdateFilter();

    private final OriginExchange origins;

    private final CapacityExchange capacities;

    /** The gateways that are connected for requests, beside those of the topology. */
    private final DirectPeers directPeers;

    private final DepartingPeers departingPeers;

    /** The offloaded requests, set before the start. */
    private Optional<OffloadExchange> offload = Optional.empty();

    /** The peers of the topology that have been sent what a peer needs to know first. */
    private final Set<String> greeted = new HashSet<>();

    /** Set while an urgent report is scheduled. */
    private boolean urgentReportPending;

    /** The time for which the last urgent report was scheduled, in milliseconds. */
    private long urgentMillis = Long.MIN_VALUE / 2;

    /** The relay of this gateway's failure domain at the last report, empty if there was none. */
    private String lastRelay = "";

    private boolean stopped;

    /**
     * Creates a reporter.
     *
     * @param reactor The event loop.
     * @param settings The gateway's settings.
     * @param core The gateway's state.
     * @param random Generates the incarnation and the jitter of reconnects.
     */
    PeerReporter(NioReactor reactor, GatewaySettings settings, GatewayCore core, Random random) {
        this.reactor = reactor;
        this.name = settings.name();
        this.core = core;
        this.reportBuilder = new ReportBuilder(core, name, random.nextLong());
        this.reportReceiver = new ReportReceiver(core);
        this.livePeers = new LivePeers(name, core.clock()::omittedMillis);
        this.relayedReports = new RelayedReports(name);
        this.catchUp = new ConfigurationCatchUp(name);
        this.topology =
                new ReportTopology(name, settings.failureDomain(), core.clock()::omittedMillis);
        this.network =
                new PeerNetwork(reactor, settings.peerAddress(), settings.peerKey(), random, this);
        this.departingPeers = new DepartingPeers(name, network::connected);
        this.origins = new OriginExchange(name, core, network, topology, livePeers, departingPeers);
        this.capacities = core.capacities();
        this.directPeers = new DirectPeers(name, network, core::now, this::connect);
        core.streams().peers(origins);
        MetricRegistry metrics = core.log().metrics();
        metrics.registerGauge("peers_connected", network::establishedConnections);
        metrics.registerGauge("peer_connections_accepted", network::acceptedConnections);
        metrics.registerGauge("peer_bytes_sent", network.traffic()::bytesSent);
        metrics.registerGauge("peer_bytes_received", network.traffic()::bytesReceived);
        metrics.registerGauge("peer_bytes_pending", network::pendingBytes);
    }

    /**
     * Sets the directory; called once before the start.
     *
     * @param fleetDirectory The directory.
     */
    void directory(FleetDirectory fleetDirectory) {
        directory = fleetDirectory;
        origins.directory(fleetDirectory);
        core.streams()
                .storage(
                        new DirectoryOriginStorage(fleetDirectory, topology, livePeers, core::now));
    }

    /** {@return the connections for offloaded requests} */
    OffloadLinks offloadLinks() {
        return directPeers;
    }

    /**
     * Sets the receiver of messages on offloaded requests; called at most once, before the start.
     *
     * @param exchange The receiver.
     */
    void offload(OffloadExchange exchange) {
        offload = Optional.of(exchange);
        directPeers.inUse(exchange::uses);
    }

    @Override
    public Promise<Void> start() {
        lastReportMillis = core.now();
        core.harmful().onUrgentUpdate(this::scheduleUrgentReport);
        scheduleReport();
        reactor.delayBackground(MEMBER_CHECK_MILLIS, this::removeDeadMembers);
        return network.start();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        origins.stop();
        return network.stop();
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param members All gateways by name, including this one.
     */
    void members(Map<String, GatewayMember> members) {
        Map<String, String> changed = new HashMap<>();
        for (GatewayMember each : members.values()) {
            if (!each.name().equals(name)) {
                changed.put(each.name(), each.peerAddress());
            }
        }
        addresses = changed;
        incarnations.keySet().retainAll(members.keySet());
        topology.members(members.values());
        departingPeers.members(members.values());
        origins.members(members.values());
        capacities.members(members.values());
        core.offloading().ifPresent(each -> each.members(members.values()));
        directPeers.members(members.values());
        core.updateFleet(addresses.size() + 1, topology.ageMillis());
        connect();
    }

    /** Opens the connections that the topology and requests require and closes all others. */
    private void connect() {
        if (stopped) {
            return;
        }
        Set<String> reported = topology.requiredPeers(core.now());
        Map<String, String> needed = new HashMap<>(addresses);
        needed.keySet().retainAll(reported);
        directPeers.required().forEach(needed::putIfAbsent);
        if (!topology.usesRelays()) {
            departingPeers
                    .all()
                    .forEach((peer, member) -> needed.putIfAbsent(peer, member.peerAddress()));
        }
        network.setPeers(needed);
        greeted.retainAll(reported);
        for (String each : reported) {
            // One that was connected for requests before the topology required it.
            if (network.connected(each) && !greeted.contains(each)) {
                greet(each);
            }
        }
    }

    /** {@return the age of the last response of the directory and of the last report of a peer} */
    InformationAge informationAge() {
        return new InformationAge(
                directory.answerAgeMillis(),
                core.now() - lastReportMillis,
                catchUp.newestReported());
    }

    /** {@return {@code true} once this gateway knows the streams that its peers know} */
    boolean originsReceived() {
        return origins.received();
    }

    /** {@return the peers that reported recently} */
    LivePeers livePeers() {
        return livePeers;
    }

    /**
     * Sets the configuration that is sent to peers on request.
     *
     * @param text The document of the configuration.
     */
    void document(String text) {
        document = text;
    }

    @Override
    public void receive(PeerMessage message) {
        if (message instanceof GatewayReport report) {
            receiveDirect(report);
        } else if (message instanceof ReportBatch batch) {
            receiveBatch(batch);
        } else if (message instanceof TargetNotice notice) {
            receiveDirect(notice);
        } else if (message instanceof CapacityNotice notice) {
            receiveDirect(notice);
        } else if (message instanceof ConfigurationRequest request) {
            respond(request);
        } else if (message instanceof ConfigurationResponse response) {
            receiveConfiguration(response);
        } else if (message instanceof OffloadMessage offloaded) {
            offload.ifPresent(each -> each.receive(offloaded));
        } else if (message instanceof StreamOriginNotice notice) {
            origins.receive(notice);
        } else if (message instanceof StreamOriginRequest request) {
            origins.receive(request);
        } else if (message instanceof VersionNotice notice) {
            origins.receive(notice);
        } else if (message instanceof VersionRecordNotice notice) {
            origins.receive(notice);
        } else if (message instanceof StreamOriginDenial denial) {
            origins.receive(denial);
        } else if (message instanceof StreamOriginsSent sent) {
            origins.receive(sent);
        }
    }

    /** Sends a peer the active configuration, without the document if it isn't newer. */
    private void respond(ConfigurationRequest request) {
        long version = core.configurationVersion();
        String text = version > request.newerThan() ? document : "";
        network.send(request.router(), new ConfigurationResponse(version, text));
    }

    private void receiveConfiguration(ConfigurationResponse response) {
        if (response.version() > core.configurationVersion()) {
            directory.applyForwardedConfiguration(response.text(), catchUp.lastAsked());
        } else {
            catchUp.declined();
            requestConfiguration();
        }
    }

    @Override
    public void peerConnected(String peer) {
        if (topology.requiredPeers(core.now()).contains(peer)) {
            greet(peer);
        }
        offload.ifPresent(each -> each.connected(peer));
    }

    @Override
    public void peerDisconnected(String peer) {
        if (offload.isPresent()) {
            offload.get().peerLost(peer);
            if (network.requires(peer)) {
                // It may not have noticed, as if packets are lost in one direction.
                network.closeFrom(peer);
            }
        }
    }

    /** Sends a peer to which this gateway reports what it needs to know first. */
    private void greet(String peer) {
        greeted.add(peer);
        core.targets()
                .listingNotices()
                .recent(core.now())
                .forEach(each -> network.send(peer, each));
        origins.connected(peer, sendsSnapshotTo(peer));
        network.send(
                peer,
                sendsSnapshotTo(peer) ? reportBuilder.full() : reportBuilder.withoutCachedParts());
    }

    /**
     * Returns whether this gateway sends what all gateways know, such as the contents of prompt
     * caches, to a peer that has just connected. In a mesh a few of them, chosen by hash, send it.
     * A relay sends it if the peer has not reported recently.
     *
     * @param peer The peer's name.
     * @return {@code true} if it does.
     */
    private boolean sendsSnapshotTo(String peer) {
        if (topology.usesRelays()) {
            return !livePeers.isLive(peer, core.now());
        }
        long own = RendezvousHash.score(name, peer);
        long closer =
                addresses.keySet().stream()
                        .filter(each -> !each.equals(peer))
                        .filter(each -> RendezvousHash.score(each, peer) > own)
                        .count();
        return closer < SNAPSHOT_SENDERS;
    }

    /**
     * Processes a report that arrived directly from its gateway.
     *
     * @param report The report.
     */
    private void receiveDirect(GatewayReport report) {
        connectTo(report);
        if (topology.usesRelays()) {
            topology.usedAsRelay(core.now());
            GatewayReport filtered = duplicateFilter.filter(report, core.now());
            relayedReports.add(filtered);
            relayUrgently(filtered);
        }
        receiveReport(report);
    }

    /** Connects at once to a peer that has started again, perhaps at another address. */
    private void connectTo(GatewayReport report) {
        Long former = incarnations.put(report.gateway(), report.incarnation());
        boolean restarted = former == null || former != report.incarnation();
        if (restarted && !network.connected(report.gateway())) {
            network.reconnect(report.gateway());
            if (former != null) {
                directory.refreshMembers();
            }
        }
    }

    /**
     * Processes a notice on a target that arrived directly from its gateway.
     *
     * @param notice The notice.
     */
    private void receiveDirect(TargetNotice notice) {
        if (topology.usesRelays()) {
            relayedReports.add(notice);
        }
        core.targets().applyNotice(notice, core.now());
    }

    /**
     * Processes a capacity notice that arrived directly from its gateway.
     *
     * @param notice The notice.
     */
    private void receiveDirect(CapacityNotice notice) {
        if (topology.usesRelays() && capacities.allowed()) {
            relayedReports.add(notice);
        }
        capacities.receive(notice);
    }

    /**
     * Processes reports that arrived in a batch from a relay.
     *
     * @param batch The batch.
     */
    private void receiveBatch(ReportBatch batch) {
        long now = core.now();
        topology.recordRelay(batch.relay(), now);
        if (topology.isRelay(now) && topology.inOtherDomain(batch.relay())) {
            relayedReports.add(
                    capacities.allowed() ? batch : ReportBatches.withoutCapacities(batch));
        }
        for (PeerMessage each : ReportBatches.messages(batch)) {
            if (each instanceof GatewayReport report) {
                receiveRelayed(report);
            } else if (each instanceof TargetNotice notice) {
                core.targets().applyNotice(notice, now);
            } else if (each instanceof CapacityNotice capacity) {
                capacities.receive(capacity);
            }
        }
    }

    private void receiveRelayed(GatewayReport report) {
        relayUrgently(report);
        if (!report.gateway().equals(name)) {
            receiveReport(report);
        }
    }

    /**
     * Processes a peer's report.
     *
     * @param report The report.
     */
    private void receiveReport(GatewayReport report) {
        long now = core.now();
        String peer = report.gateway();
        livePeers.recordReport(peer, now);
        lastReportMillis = now;
        if (unlistedPeers.joined(peer, report.incarnation(), addresses.containsKey(peer))) {
            directory.refreshMembers();
        }
        catchUp.reported(peer, report.configurationVersion(), core.configurationVersion(), now);
        requestConfiguration();
        reportReceiver.apply(report);
    }

    /**
     * Schedules an urgent report if this gateway is a relay and the report holds quarantine
     * updates, so that a harmful request is stopped fleet-wide before it crashes more targets. With
     * regular reports, a request that crashes a target every 0.4 s crashes seven before all
     * gateways of a fleet of 95 know it.
     *
     * @param report The report.
     */
    private void relayUrgently(GatewayReport report) {
        if (!report.quarantine().isEmpty() && topology.isRelay(core.now())) {
            scheduleUrgentReport();
        }
    }

    /** Schedules a report outside the regular interval. */
    private void scheduleUrgentReport() {
        if (urgentReportPending) {
            return;
        }
        urgentReportPending = true;
        long now = core.now();
        urgentMillis = Math.max(now + COALESCE_MILLIS, urgentMillis + MIN_URGENT_MILLIS);
        reactor.delayBackground(urgentMillis - now, this::sendUrgentReport);
    }

    /** Sends an urgent report. */
    private void sendUrgentReport() {
        urgentReportPending = false;
        if (!stopped) {
            sendReport();
        }
    }

    /** Sends a regular report and schedules the next one. */
    private void reportPeriodically() {
        if (!stopped) {
            scheduleReport();
            sendReport();
        }
    }

    /** Logs the relay of this gateway's failure domain if it has changed. */
    private void logRelay() {
        String relay = topology.usesRelays() ? topology.relay(core.now()) : "";
        if (!relay.equals(lastRelay)) {
            lastRelay = relay;
            core.log().changed("relay", relay);
        }
    }

    /** Sends this gateway's report to its peers or its relay. */
    private void sendReport() {
        try {
            connect();
            logRelay();
            // Doesn't refresh for each draining target that a peer reports, since the directory
            // usually delivers the change soon after.
            if (core.targets().detectStaleDirectory(core.now())) {
                directory.refresh();
            }
            origins.sendNew();
            sendToPeers(
                    reportBuilder.next(topology.usesRelays()),
                    core.targets().listingNotices().takeNew());
        } finally {
            // Also after a failure, so that reports that can't be forwarded don't fill the heap.
            relayedReports.clear();
        }
    }

    private void sendToPeers(GatewayReport own, List<TargetNotice> notices) {
        Optional<CapacityNotice> capacity = capacities.next(core.now());
        if (!topology.usesRelays()) {
            notices.forEach(network::broadcast);
            capacity.ifPresent(network::broadcast);
            network.broadcast(own);
        } else if (topology.isRelay(core.now())) {
            notices.forEach(relayedReports::add);
            capacity.ifPresent(relayedReports::add);
            relayReports(own);
        } else {
            String relay = topology.relay(core.now());
            notices.forEach(each -> network.send(relay, each));
            capacity.ifPresent(each -> network.send(relay, each));
            network.send(relay, own);
        }
    }

    /**
     * Sends the collected notices and reports and this gateway's own to the other relays and to the
     * gateways of the failure domain.
     *
     * @param own This gateway's report.
     */
    private void relayReports(GatewayReport own) {
        ReportBatch batch = relayedReports.batchWith(own);
        topology.otherRelays(core.now()).forEach(each -> network.send(each, batch));
        for (String each : topology.domainPeers()) {
            network.send(each, batch);
            relayedReports.fromOtherDomains().forEach(other -> network.send(each, other));
        }
    }

    /** Requests the configuration of a connected peer, if one has a newer version. */
    private void requestConfiguration() {
        long version = core.configurationVersion();
        catchUp.nextPeer(version, network::connected, core.now())
                .ifPresent(peer -> network.send(peer, new ConfigurationRequest(name, version)));
    }

    /** Removes the directory entries of dead gateways. */
    private void removeDeadMembers() {
        if (stopped) {
            return;
        }
        for (String each : deadMemberDetector.findDead(addresses.keySet(), livePeers, core.now())) {
            core.log().changed("member-gone", each);
            directory.removeMember(each);
        }
        reactor.delayBackground(MEMBER_CHECK_MILLIS, this::removeDeadMembers);
    }

    /** Schedules the next regular report. */
    private void scheduleReport() {
        reactor.delayBackground(topology.intervalMillis(), this::reportPeriodically);
    }
}
