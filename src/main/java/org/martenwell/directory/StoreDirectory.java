package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.HeldRequest;
import org.martenwell.route.GatewayConfiguration;

/**
 * A directory in a store of objects. The version in force never falls, whatever the store or peers
 * tell later.
 */
public final class StoreDirectory implements FleetDirectory {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(StoreDirectory.class);

    /** The field that holds a gateway's address. */
    private static final String PEER_ADDRESS = "peerAddress";

    /** The field of a gateway's failure domain. */
    private static final String FAILURE_DOMAIN = "failureDomain";

    /** The field of a gateway's processor time. */
    private static final String PROCESSORS = "processors";

    /** How long until this gateway makes itself known again after a failure, in milliseconds. */
    private static final long JOIN_RETRY_MILLIS = 500;

    /** How long after joining a list may lack this gateway, in milliseconds. */
    private static final long JOIN_GRACE_MILLIS = 8_000;

    /** The loop. */
    private final NioReactor reactor;

    /** The store. */
    private final ObjectStore store;

    /** Reads objects. */
    private final EntryReader reader;

    /** This gateway. */
    private final GatewayMember self;

    /** Is told of what the directory holds. */
    private final DirectoryListener listener;

    /** Follows the configuration. */
    private final KindWatcher configurations;

    /** Follows targets. */
    private final KindWatcher targets;

    /** Follows gateways. */
    private final KindPoller gateways;

    /** Keeps the requests that are held back. */
    private final HeldRequestStore heldRequests;

    /** The version in force. */
    private long version;

    /** The gateways as they were last listed. */
    private Map<String, StoredEntry> members = Map.of();

    /** The revisions of the targets' objects that could not be read, by name. */
    private final Map<String, Long> unreadable = new HashMap<>();

    /** When this gateway last joined, in milliseconds. */
    private long joinedMillis;

    /** Whether this gateway stops. */
    private boolean leaving;

    /**
     * Creates a directory.
     *
     * @param reactor The loop.
     * @param store The store.
     * @param reader Reads objects.
     * @param self This gateway.
     * @param listener Is told of what the directory holds.
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
        this.joinedMillis = reactor.currentTimeMillis();
        Random random = new Random(self.name().hashCode());
        this.configurations =
                new KindWatcher(
                        new KindSource(reactor, store, reader.configurationKind(), random),
                        this::watchTiming,
                        entry -> reader.configurationKind(),
                        this::applyConfigurations);
        this.targets =
                new KindWatcher(
                        new KindSource(reactor, store, reader.targetKind(), random),
                        this::watchTiming,
                        this::service,
                        this::applyTargets);
        this.gateways =
                new KindPoller(
                        new KindSource(reactor, store, reader.gatewayKind(), random),
                        PollInterval.GATEWAYS,
                        this::applyGateways);
        this.heldRequests =
                new HeldRequestStore(
                        reactor,
                        store,
                        reader.heldRequestKind(),
                        random,
                        listener,
                        Clock.systemUTC());
    }

    @Override
    public Promise<Void> start() {
        join();
        return configurations
                .start()
                .then(targets::start)
                .then(gateways::start)
                .then(heldRequests::start);
    }

    @Override
    public Promise<Void> stop() {
        return configurations
                .stop()
                .then(targets::stop)
                .then(gateways::stop)
                .then(heldRequests::stop)
                .whenResult(store::close);
    }

    @Override
    public void passedOn(String document) {
        applyConfiguration(Json.read(document.getBytes(StandardCharsets.UTF_8)));
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
    public void hold(HeldRequest request) {
        heldRequests.hold(request);
    }

    @Override
    public void release(Fingerprint fingerprint) {
        heldRequests.release(fingerprint);
    }

    @Override
    public void leave() {
        leaving = true;
        store.remove(reader.gatewayKind(), self.name(), Optional.empty());
    }

    /**
     * Returns how the store is watched.
     *
     * @return The pace.
     */
    private WatchTiming watchTiming() {
        return WatchTiming.of(members.size());
    }

    /**
     * Returns the service of a target.
     *
     * @param entry The target's object.
     * @return The service's name, empty if the object can't be read.
     */
    private String service(StoredEntry entry) {
        return target(entry).map(DirectoryTarget::service).orElse("");
    }

    /**
     * Reads a target.
     *
     * @param entry The target's object.
     * @return The target or empty if the object can't be read.
     */
    private Optional<DirectoryTarget> target(StoredEntry entry) {
        try {
            return Optional.of(reader.target(entry.name(), entry.value()));
        } catch (MartenwellException exception) {
            reportUnreadable(entry, exception.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Tells that an entry can't be read, once for each version of it.
     *
     * @param entry The entry.
     * @param reason What is wrong with it.
     */
    private void reportUnreadable(StoredEntry entry, String reason) {
        Long reportedRevision = unreadable.put(entry.name(), entry.revision());
        if (reportedRevision == null || reportedRevision != entry.revision()) {
            listener.unreadable(entry.name(), reason);
        }
    }

    /** Makes this gateway known again if another one took it for gone. */
    private void rejoinIfRemoved() {
        boolean graceExpired = reactor.currentTimeMillis() - joinedMillis > JOIN_GRACE_MILLIS;
        if (graceExpired && !members.containsKey(self.name())) {
            joinedMillis = reactor.currentTimeMillis();
            join();
        }
    }

    /** Makes this gateway known. */
    private void join() {
        if (leaving) {
            return;
        }
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put(PEER_ADDRESS, self.peerAddress());
        value.put(FAILURE_DOMAIN, self.failureDomain());
        value.put(PROCESSORS, self.processors());
        store.put(reader.gatewayKind(), self.name(), value)
                .whenResult(() -> joinedMillis = reactor.currentTimeMillis())
                .whenException(exception -> reactor.delayBackground(JOIN_RETRY_MILLIS, this::join));
    }

    /**
     * Takes configurations in.
     *
     * @param entries All objects of their kind.
     */
    private void applyConfigurations(Map<String, StoredEntry> entries) {
        StoredEntry present = entries.get(reader.configurationName());
        if (present != null) {
            applyConfiguration(present.value());
        }
    }

    /**
     * Takes a configuration in, if it is newer.
     *
     * @param document The configuration's document.
     */
    private void applyConfiguration(JsonNode document) {
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
            version = configuration.version();
            listener.configured(
                    configuration, new String(Json.write(document), StandardCharsets.UTF_8));
        }
    }

    /**
     * Takes targets in.
     *
     * @param entries All objects of their kind.
     */
    private void applyTargets(Map<String, StoredEntry> entries) {
        Map<String, DirectoryTarget> all = new HashMap<>();
        for (StoredEntry each : entries.values()) {
            target(each).ifPresent(target -> all.put(target.id(), target));
        }
        for (DirectoryTarget each : TargetsWithoutStart.of(all.values())) {
            all.remove(each.id());
            reportUnreadable(
                    entries.get(each.id()), "The start is missing, which most others tell.");
        }
        unreadable.keySet().retainAll(entries.keySet());
        listener.targets(all);
    }

    /**
     * Takes gateways in.
     *
     * @param entries All objects of their kind.
     */
    private void applyGateways(Map<String, StoredEntry> entries) {
        members = entries;
        rejoinIfRemoved();
        Map<String, GatewayMember> all = new HashMap<>();
        for (StoredEntry each : entries.values()) {
            String address = each.value().path(PEER_ADDRESS).asText("");
            if (!address.isEmpty()) {
                String domain = each.value().path(FAILURE_DOMAIN).asText("");
                double processors = each.value().path(PROCESSORS).asDouble(0);
                all.put(each.name(), new GatewayMember(each.name(), domain, address, processors));
            }
        }
        listener.members(all);
    }
}
