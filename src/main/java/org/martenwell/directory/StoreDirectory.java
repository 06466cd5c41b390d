package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.InvalidEntry;
import org.martenwell.service.IpAddress;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/**
 * Fleet directory backed by an {@link ObjectStore}. The version of the active configuration never
 * decreases, even if the store or a peer provides an older one.
 */
public final class StoreDirectory implements FleetDirectory {

    private static final Logger LOGGER = LogManager.getLogger(StoreDirectory.class);

    private static final String PEER_ADDRESS = "peerAddress";

    private static final String FAILURE_DOMAIN = "failureDomain";

    private static final String PROCESSORS = "processors";

    private static final String PROTOCOL = "protocol";

    /** The length of a gateway's name up to which its entry is valid, in characters. */
    private static final int MAX_NAME_LENGTH = 256;

    /** The delay before a failed registration is retried, in milliseconds. */
    private static final long JOIN_RETRY_MILLIS = 500;

    /**
     * The time after joining during which lists may not contain this gateway yet, in milliseconds.
     */
    private static final long JOIN_GRACE_MILLIS = 8_000;

    /** The time after the start until the list of gateways is complete, in milliseconds. */
    private static final long SETTLE_MILLIS = 3_000;

    private final NioReactor reactor;

    private final ObjectStore store;

    private final EntryReader reader;

    private final GatewayMember self;

    private final DirectoryListener listener;

    private final KindWatcher configurations;

    private final LostResponseCheck configurationCheck;

    private final KindWatcher targets;

    private final KindWatcher evacuations;

    private final KindPoller gateways;

    private final QuarantinedRequestStore quarantinedRequests;

    private final VersionRecordStore versionRecords;

    private final StreamOriginStore streamOrigins;

    private final TargetVersionHistory versionHistory;

    /** The version of the active configuration. */
    private long version;

    /** The valid gateway entries of the last list, by name. */
    private Map<String, StoredEntry> members = Map.of();

    private final UnreadableEntries unreadableTargets;

    private final UnreadableEntries unreadableGateways;

    private final long startedMillis;

    /** The time of the last registration, in milliseconds. */
    private long joinedMillis;

    /** Set once the evacuations are known, so that targets may be reported. */
    private boolean evacuationsKnown;

    /** Set once this gateway shuts down, so that it doesn't register again. */
    private boolean leaving;

    /**
     * Creates a directory that is not started.
     *
     * @param reactor The event loop.
     * @param store The store, which is closed with this directory.
     * @param reader Parses the store's objects.
     * @param self This gateway.
     * @param listener Receives the contents of the directory.
     */
    public StoreDirectory(
            NioReactor reactor,
            ObjectStore store,
            EntryReader reader,
            GatewayMember self,
            DirectoryListener listener) {
        this.reactor = reactor;
        this.store = store;
        this.reader = reader;
        this.self = self;
        this.listener = listener;
        this.unreadableTargets = new UnreadableEntries(listener);
        this.unreadableGateways = new UnreadableEntries(listener);
        this.startedMillis = reactor.currentTimeMillis();
        this.joinedMillis = startedMillis;
        Random random = new Random(self.name().hashCode());
        StoreRetries retries = new StoreRetries();
        this.configurations =
                new KindWatcher(
                        new KindSource(reactor, store, reader.configurationKind(), random),
                        retries,
                        this::watchTiming,
                        entry -> reader.configurationKind(),
                        this::applyConfigurations);
        this.configurationCheck =
                new LostResponseCheck(
                        new KindSource(reactor, store, reader.configurationKind(), random),
                        () -> members.size(),
                        configurations);
        this.targets =
                new KindWatcher(
                        new KindSource(reactor, store, reader.targetKind(), random),
                        retries,
                        this::watchTiming,
                        this::service,
                        this::applyTargets);
        this.evacuations =
                new KindWatcher(
                        new KindSource(reactor, store, reader.evacuationKind(), random),
                        retries,
                        this::watchTiming,
                        entry -> reader.evacuationKind(),
                        this::applyEvacuations);
        this.gateways =
                new KindPoller(
                        new KindSource(reactor, store, reader.gatewayKind(), random),
                        PollInterval.GATEWAYS,
                        this::applyGateways);
        this.versionRecords = new VersionRecordStore(store, reader.versionKind());
        this.streamOrigins = new StreamOriginStore(store, reader.originKind());
        this.versionHistory = new TargetVersionHistory(store, reader);
        this.quarantinedRequests =
                new QuarantinedRequestStore(
                        reactor,
                        store,
                        reader.quarantinedRequestKind(),
                        random,
                        listener,
                        Clock.systemUTC());
    }

    @Override
    public Promise<Void> start() {
        join();
        return configurations
                .start()
                .then(configurationCheck::start)
                .then(evacuations::start)
                .then(gateways::start)
                .then(quarantinedRequests::start);
    }

    @Override
    public Promise<Void> stop() {
        return configurations
                .stop()
                .then(configurationCheck::stop)
                .then(targets::stop)
                .then(evacuations::stop)
                .then(gateways::stop)
                .then(quarantinedRequests::stop)
                .whenResult(store::close);
    }

    @Override
    public void applyForwardedConfiguration(String document, String peer) {
        applyConfiguration(
                Json.readLeniently(document.getBytes(StandardCharsets.UTF_8)), Optional.of(peer));
    }

    @Override
    public long answerAgeMillis() {
        return Math.min(
                configurations.answerAgeMillis(),
                Math.min(targets.answerAgeMillis(), evacuations.answerAgeMillis()));
    }

    @Override
    public void refresh() {
        targets.refresh();
    }

    @Override
    public void refreshMembers() {
        gateways.refresh();
    }

    @Override
    public void removeMember(String name) {
        StoredEntry entry = members.get(name);
        if (entry != null) {
            store.remove(reader.gatewayKind(), name, Optional.of(entry.revision()));
            gateways.refresh();
        }
    }

    @Override
    public void quarantine(QuarantinedRequest request) {
        quarantinedRequests.quarantine(request);
    }

    @Override
    public void release(Fingerprint fingerprint) {
        quarantinedRequests.release(fingerprint);
    }

    @Override
    public Promise<Void> recordVersion(ServiceVersion version) {
        return versionRecords.write(version);
    }

    @Override
    public Promise<Void> removeVersion(ServiceVersion version) {
        return versionRecords.remove(version);
    }

    @Override
    public Promise<Set<ServiceVersion>> recordedVersions() {
        return versionRecords.read();
    }

    @Override
    public Promise<Optional<Set<ServiceVersion>>> versionsEverListed() {
        return versionHistory.read();
    }

    @Override
    public Promise<Void> storeOrigins(OriginBatch batch) {
        return streamOrigins.write(batch);
    }

    @Override
    public Promise<List<StreamOrigin>> storedOrigins() {
        return streamOrigins.read();
    }

    @Override
    public Promise<Integer> removeUnchangedOrigins(long now, long ageMillis) {
        return streamOrigins.removeUnchanged(now, ageMillis);
    }

    @Override
    public void leave() {
        leaving = true;
        store.remove(reader.gatewayKind(), self.name(), Optional.empty());
    }

    private WatchTiming watchTiming() {
        boolean settled = reactor.currentTimeMillis() - startedMillis >= SETTLE_MILLIS;
        return settled ? WatchTiming.of(members.size()) : WatchTiming.STARTING;
    }

    /**
     * Returns the service of a target, by which its entry is grouped.
     *
     * @param entry The target's entry.
     * @return The name of the service, empty if the entry is malformed.
     */
    private String service(StoredEntry entry) {
        return target(entry).map(DirectoryTarget::service).orElse("");
    }

    /**
     * Parses a target and reports a malformed entry.
     *
     * @param entry The target's entry.
     * @return The target, or empty if the entry is malformed.
     */
    private Optional<DirectoryTarget> target(StoredEntry entry) {
        try {
            return Optional.of(reader.target(entry.name(), entry.value()));
        } catch (MartenwellException exception) {
            unreadableTargets.report(entry, exception.getMessage());
            return Optional.empty();
        }
    }

    /** Registers this gateway again if its entry was removed by mistake or is malformed. */
    private void rejoinIfRemoved() {
        boolean graceExpired = reactor.currentTimeMillis() - joinedMillis > JOIN_GRACE_MILLIS;
        if (graceExpired && !members.containsKey(self.name())) {
            joinedMillis = reactor.currentTimeMillis();
            join();
        }
    }

    /** Registers this gateway; a failed write is retried. */
    private void join() {
        if (leaving) {
            return;
        }
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put(PEER_ADDRESS, self.peerAddress());
        value.put(FAILURE_DOMAIN, self.failureDomain());
        value.put(PROCESSORS, self.processors());
        value.put(PROTOCOL, self.protocol());
        store.put(reader.gatewayKind(), self.name(), value)
                .whenResult(() -> joinedMillis = reactor.currentTimeMillis())
                .whenException(exception -> reactor.delayBackground(JOIN_RETRY_MILLIS, this::join));
    }

    private void applyConfigurations(Map<String, StoredEntry> entries) {
        StoredEntry present = entries.get(reader.configurationName());
        if (present != null) {
            applyConfiguration(present.value(), Optional.empty());
        }
    }

    /**
     * Reports the evacuated failure domains to the listener. The targets are listed only after the
     * first report, so that no request reaches an evacuated one.
     *
     * @param entries All evacuation entries by name.
     */
    private void applyEvacuations(Map<String, StoredEntry> entries) {
        listener.evacuationsChanged(Set.copyOf(entries.keySet()));
        if (!evacuationsKnown) {
            evacuationsKnown = true;
            targets.start();
        }
    }

    /**
     * Applies a configuration if it is newer than the active one. A malformed one is logged and
     * ignored.
     *
     * @param document The configuration as JSON.
     * @param peer The peer that forwarded it, empty if the store provided it.
     */
    private void applyConfiguration(JsonNode document, Optional<String> peer) {
        GatewayConfiguration configuration;
        try {
            configuration = reader.configuration(document);
        } catch (RuntimeException exception) {
            LOGGER.error(
                    LogEvent.of("configuration-unreadable")
                            .with("reason", exception.toString())
                            .message());
            return;
        }
        if (configuration.version() > version) {
            listener.configurationChanged(
                    configuration, new String(Json.write(document), StandardCharsets.UTF_8), peer);
            version = configuration.version();
            configuration.invalidEntries().forEach(this::reportInvalid);
        }
    }

    private void reportInvalid(InvalidEntry entry) {
        String document = reader.configurationKind() + "/" + reader.configurationName();
        listener.entryUnreadable(document + "#" + entry.pointer(), entry.reason());
    }

    /**
     * Reports all targets to the listener, without malformed entries and those that lack a start
     * time.
     *
     * @param entries All target entries by name.
     */
    private void applyTargets(Map<String, StoredEntry> entries) {
        Map<String, DirectoryTarget> all = new HashMap<>();
        for (StoredEntry each : entries.values()) {
            target(each).ifPresent(target -> all.put(target.id(), target));
        }
        for (DirectoryTarget each : TargetsWithoutStart.of(all.values())) {
            all.remove(each.id());
            unreadableTargets.report(
                    entries.get(each.id()), "The start time is missing, unlike in most entries.");
        }
        unreadableTargets.retain(entries.keySet());
        listener.targetsChanged(all, targets.asOfMillis());
    }

    /**
     * Reports all gateways to the listener, without entries that lack a valid name or address.
     *
     * @param entries All gateway entries by name.
     */
    private void applyGateways(Map<String, StoredEntry> entries) {
        Map<String, StoredEntry> valid = new HashMap<>();
        Map<String, GatewayMember> all = new HashMap<>();
        for (StoredEntry each : entries.values()) {
            String address = each.value().path(PEER_ADDRESS).asText("");
            boolean named = !each.name().isEmpty() && each.name().length() <= MAX_NAME_LENGTH;
            if (named && IpAddress.parse(address).isPresent()) {
                valid.put(each.name(), each);
                all.put(each.name(), member(each, address));
            } else {
                unreadableGateways.report(
                        each,
                        "A name and a field "
                                + PEER_ADDRESS
                                + " with an IP address and a port are required.");
            }
        }
        unreadableGateways.retain(entries.keySet());
        members = valid;
        rejoinIfRemoved();
        listener.membersChanged(all);
    }

    private static GatewayMember member(StoredEntry entry, String address) {
        return new GatewayMember(
                entry.name(),
                entry.value().path(FAILURE_DOMAIN).asText(""),
                address,
                entry.value().path(PROCESSORS).asDouble(0),
                entry.value().path(PROTOCOL).asInt(0));
    }
}
