package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.directory.GatewayMember;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.PeerNetwork;
import org.martenwell.peer.StreamOriginDenial;
import org.martenwell.peer.StreamOriginNotice;
import org.martenwell.peer.StreamOriginRequest;
import org.martenwell.peer.StreamOriginsSent;
import org.martenwell.peer.VersionNotice;
import org.martenwell.peer.VersionRecordNotice;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.VersionHistory;

/**
 * Exchanges with peers at which versions streams began. In a mesh all gateways are notified of new
 * streams. In a large fleet the relays are, and gateways ask their relay, which asks the rest of
 * the fleet if it doesn't know. Gateways that don't understand these messages get none.
 */
final class OriginExchange implements OriginPeers {

    /** The time without contact after which a peer is not waited for, in milliseconds. */
    private static final long LOST_MILLIS = 2_000;

    private final String self;

    private final GatewayCore core;

    private final PeerNetwork network;

    private final ReportTopology topology;

    private final LivePeers livePeers;

    private final DepartingPeers departingPeers;

    private FleetDirectory directory;

    private final OriginTransfer transfer;

    private boolean stopped;

    /** The searches in the name of other gateways. */
    private final Set<Search> searches = new HashSet<>();

    private record Search(String asker, long attempt) {}

    /** The other gateways of the fleet. */
    private Set<String> others = Set.of();

    /** The gateways that understand messages on versions. */
    private Set<String> capable = Set.of();

    /** The gateways that deny that they know a stream, and send all origins that they know. */
    private Set<String> transferring = Set.of();

    /** The origins that a relay forwards to other relays with its next report. */
    private List<StreamOrigin> collected = new ArrayList<>();

    /** The origins that a relay forwards to the gateways that may replace it. */
    private List<StreamOrigin> unsecured = new ArrayList<>();

    /**
     * Creates an exchange without peers.
     *
     * @param self The gateway's name.
     * @param core The gateway's state.
     * @param network Sends messages.
     * @param topology Selects the peers to send to.
     * @param livePeers The peers that reported recently.
     * @param departingPeers The peers that left the directory and still run.
     */
    OriginExchange(
            String self,
            GatewayCore core,
            PeerNetwork network,
            ReportTopology topology,
            LivePeers livePeers,
            DepartingPeers departingPeers) {
        this.self = self;
        this.core = core;
        this.network = network;
        this.topology = topology;
        this.livePeers = livePeers;
        this.departingPeers = departingPeers;
        this.transfer = new OriginTransfer(core.reactor(), self, network);
    }

    /**
     * Sets the directory; called once before the start.
     *
     * @param fleetDirectory The directory.
     */
    void directory(FleetDirectory fleetDirectory) {
        directory = fleetDirectory;
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param members The gateways, including this one.
     */
    void members(Collection<GatewayMember> members) {
        others = named(members, 0);
        List<GatewayMember> running = new ArrayList<>(members);
        running.addAll(departingPeers.all().values());
        capable = named(running, GatewayMember.VERSION_PROTOCOL);
        transferring = named(running, GatewayMember.ORIGIN_PROTOCOL);
        transfer.fleetKnown();
    }

    private Set<String> named(Collection<GatewayMember> members, int protocol) {
        Set<String> names = new HashSet<>();
        for (GatewayMember each : members) {
            if (each.protocol() >= protocol && !each.name().equals(self)) {
                names.add(each.name());
            }
        }
        return names;
    }

    /**
     * Sends a peer that has just connected what this gateway knows of listed versions, and the
     * streams that the peer has to know.
     *
     * @param peer The peer's name.
     * @param everything {@code true} in a mesh if that includes the streams of other gateways.
     */
    void connected(String peer, boolean everything) {
        send(peer, new VersionNotice(core.streams().historyForNewPeer()));
        if (transferring.contains(peer)) {
            List<ServiceVersion> recorded = core.streams().records().recorded();
            if (!recorded.isEmpty()) {
                network.send(peer, new VersionRecordNotice(recorded));
            }
            List<StreamOrigin> origins = new ArrayList<>(core.streams().notified());
            if (topology.usesRelays() ? passesOnTo(peer) : everything) {
                origins.addAll(core.streams().near());
            }
            transfer.send(peer, origins, core.streams().retentionMillis());
        }
    }

    /** Returns whether a peer of a large fleet has to know the streams of this failure domain. */
    private boolean passesOnTo(String peer) {
        return topology.inOtherDomain(peer)
                || topology.standbys().contains(peer)
                || peer.equals(topology.relay(core.now()));
    }

    /** {@return {@code true} once this gateway knows the streams that its peers know} */
    boolean received() {
        Set<String> peers = new HashSet<>(topology.requiredPeers(core.now()));
        peers.retainAll(transferring);
        return transfer.isReceived(peers);
    }

    /**
     * Processes that a peer has sent all origins.
     *
     * @param message The message.
     */
    void receive(StreamOriginsSent message) {
        transfer.receive(message);
    }

    /**
     * Notifies peers of new streams as soon as their first events are forwarded, so that a gateway
     * that is killed afterwards takes none with it.
     */
    @Override
    public void sendSoon() {
        sendUnsent();
        network.flush();
    }

    /** Notifies the peers that this gateway reports to, and those that may replace a relay. */
    private void sendUnsent() {
        List<StreamOrigin> origins = core.streams().takeUnsent();
        if (!topology.usesRelays()) {
            notifyEach(capable, "", origins);
        } else if (topology.isRelay(core.now())) {
            collected.addAll(origins);
            unsecured.addAll(origins);
            for (String each : topology.standbys()) {
                notifyEach(Set.of(each), each, unsecured);
            }
            unsecured = new ArrayList<>();
        } else {
            notifyEach(Set.of(topology.relay(core.now())), "", origins);
        }
    }

    private void notifyEach(Set<String> peers, String recipient, List<StreamOrigin> origins) {
        if (!origins.isEmpty()) {
            peers.forEach(each -> send(each, new StreamOriginNotice(self, recipient, origins)));
        }
    }

    /** Notifies peers of new streams; called before each report, whose frame it shares. */
    void sendNew() {
        sendUnsent();
        notifyEach(topology.otherRelays(core.now()), "", collected);
        collected = new ArrayList<>();
    }

    @Override
    public Set<String> respondents(InquiryScope scope) {
        long now = core.now();
        Set<String> names = new HashSet<>(scope.peers(topology, now));
        if (!topology.usesRelays()) {
            names.addAll(departingPeers.names());
        }
        names.removeIf(each -> !capable.contains(each) || isLost(each));
        return names;
    }

    /** Returns whether a peer has not been in contact for long, so that it is probably gone. */
    private boolean isLost(String peer) {
        return !network.connected(peer)
                && transfer.runsFor(LOST_MILLIS)
                && !livePeers.isLive(peer, core.now());
    }

    @Override
    public boolean fleetKnown() {
        return transfer.isFleetKnown();
    }

    @Override
    public void ask(String peer, List<Long> attempts) {
        send(peer, new StreamOriginRequest(self, attempts));
    }

    @Override
    public void send(VersionHistory history) {
        capable.forEach(each -> send(each, new VersionNotice(history)));
    }

    @Override
    public boolean owns(ServiceVersion version) {
        return livePeers.owns(version.service() + version.version(), core.now());
    }

    @Override
    public Promise<Void> record(ServiceVersion version) {
        return directory.recordVersion(version);
    }

    @Override
    public Promise<Void> removeRecord(ServiceVersion version) {
        return directory.removeVersion(version);
    }

    @Override
    public Promise<Set<ServiceVersion>> readRecords() {
        return directory.recordedVersions();
    }

    @Override
    public Promise<Optional<Set<ServiceVersion>>> readHistory() {
        return directory.versionsEverListed();
    }

    @Override
    public void sendRecorded(List<ServiceVersion> versions) {
        if (!versions.isEmpty()) {
            transferring.forEach(each -> network.send(each, new VersionRecordNotice(versions)));
        }
    }

    /**
     * Processes which versions the directory holds a record of. Relays pass it on.
     *
     * @param notice The message.
     */
    void receive(VersionRecordNotice notice) {
        List<ServiceVersion> added = new ArrayList<>(notice.versions());
        added.removeAll(core.streams().records().recorded());
        core.streams().records().learn(added);
        if (topology.usesRelays()) {
            sendRecorded(added);
        }
    }

    @Override
    public boolean stopped() {
        return stopped;
    }

    /** Ends periodic checks. */
    void stop() {
        stopped = true;
    }

    @Override
    public void refreshTargets() {
        directory.refresh();
    }

    @Override
    public boolean inContact() {
        return fleetKnown()
                && others.stream()
                        .allMatch(
                                each ->
                                        livePeers.isLive(each, core.now())
                                                || network.refused(each));
    }

    /**
     * Processes the origins of streams.
     *
     * @param notice The message.
     */
    void receive(StreamOriginNotice notice) {
        boolean fromDomain = !topology.usesRelays() || !topology.inOtherDomain(notice.sender());
        core.streams().learn(notice.origins(), fromDomain);
        boolean forOthers = !notice.recipient().isEmpty() && !notice.recipient().equals(self);
        if (forOthers) {
            send(nextHop(notice.recipient()), notice);
        } else if (notice.recipient().isEmpty() && fromDomain && topology.isRelay(core.now())) {
            collected.addAll(notice.origins());
            unsecured.addAll(notice.origins());
            sendSoon();
        }
    }

    /**
     * Responds to a request for the origins of streams. A relay asks others for what it doesn't
     * know.
     *
     * @param request The message.
     */
    void receive(StreamOriginRequest request) {
        network.reconnect(request.asker());
        List<StreamOrigin> known = core.streams().known(request.attempts());
        if (!known.isEmpty()) {
            respond(request.asker(), known);
        }
        List<Long> unknown = new ArrayList<>(request.attempts());
        known.forEach(each -> unknown.remove(each.attempt()));
        if (core.streams().records().isIncomplete()) {
            // The gateway asks again until this one can tell.
            return;
        }
        if (topology.isRelay(core.now())) {
            unknown.forEach(each -> search(request.asker(), each));
        } else if (!unknown.isEmpty()) {
            deny(request.asker(), unknown);
        }
    }

    /** Searches for a stream in the name of another gateway, unless that is in progress. */
    private void search(String asker, long attempt) {
        if (searches.add(new Search(asker, attempt))) {
            InquiryScope scope =
                    topology.inOtherDomain(asker) ? InquiryScope.DOMAIN : InquiryScope.FLEET;
            core.streams().inquiries().start(RelayInquiry.of(asker, attempt, scope, this));
        }
    }

    /**
     * Records that a search in the name of another gateway is over.
     *
     * @param asker The gateway's name.
     * @param attempt The key of the attempt that brought the first event.
     */
    void searchEnded(String asker, long attempt) {
        searches.remove(new Search(asker, attempt));
    }

    /**
     * Returns the origins that are known here.
     *
     * @param attempts The keys of the attempts that brought the first events.
     * @return The origins of those that are known.
     */
    List<StreamOrigin> known(List<Long> attempts) {
        return core.streams().known(attempts);
    }

    /**
     * Sends a gateway the origins that it asked for.
     *
     * @param asker The gateway's name.
     * @param origins The origins.
     */
    void respond(String asker, List<StreamOrigin> origins) {
        send(nextHop(asker), new StreamOriginNotice(self, asker, origins));
    }

    /**
     * Sends a gateway the statement that streams are not known here.
     *
     * @param asker The gateway's name.
     * @param attempts The keys of the attempts that brought the first events.
     */
    void deny(String asker, List<Long> attempts) {
        if (transferring.contains(asker)) {
            network.send(asker, new StreamOriginDenial(self, attempts));
        }
    }

    /**
     * Processes that a peer doesn't know streams.
     *
     * @param denial The message.
     */
    void receive(StreamOriginDenial denial) {
        core.streams().denied(denial.sender(), denial.attempts());
    }

    /**
     * Processes what a peer knows of the versions that the directory lists.
     *
     * @param notice The message.
     */
    void receive(VersionNotice notice) {
        boolean added = core.streams().learn(notice.history());
        if (added && topology.usesRelays()) {
            send(core.streams().history());
        }
    }

    /** Returns the peer over which a gateway is reached. */
    private String nextHop(String gateway) {
        return topology.nextHop(gateway, core.now());
    }

    private void send(String peer, PeerMessage message) {
        if (capable.contains(peer)) {
            network.send(peer, message);
        }
    }
}
