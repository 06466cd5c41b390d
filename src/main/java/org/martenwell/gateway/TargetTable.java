package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.balance.ReadingRate;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.exchange.KeepAlive;
import org.martenwell.exchange.TargetConnections;

/** The targets of the directory, with their loads and connections. */
final class TargetTable {

    /** How long opening a connection to a target may take, in milliseconds. */
    private static final long CONNECT_MILLIS = 400;

    /** The loop. */
    private final NioReactor reactor;

    /** The targets by id. */
    private final Map<String, KnownTarget> targets = new HashMap<>();

    /** The reading rates by service. */
    private final Map<String, ReadingRate> rates = new HashMap<>();

    /** The ids of targets that peers know to be leaving. */
    private final Set<String> leavingByPeers = new HashSet<>();

    /**
     * Creates an empty table.
     *
     * @param reactor The loop.
     */
    TargetTable(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Takes in the directory's targets.
     *
     * @param told All targets by id.
     */
    void update(Map<String, DirectoryTarget> told) {
        for (String id : List.copyOf(targets.keySet())) {
            if (!told.containsKey(id)) {
                targets.remove(id).connections().close();
            }
        }
        for (DirectoryTarget each : told.values()) {
            KnownTarget known = targets.get(each.id());
            if (known == null) {
                targets.put(each.id(), create(each));
            } else {
                known.load().target(each);
            }
        }
        leavingByPeers.retainAll(told.keySet());
    }

    /**
     * Notes that a peer knows a target to be leaving.
     *
     * @param id The target's id.
     * @return {@code true} if this is news.
     */
    boolean leavingByPeer(String id) {
        KnownTarget known = targets.get(id);
        return known != null && !known.load().target().leaving() && leavingByPeers.add(id);
    }

    /**
     * Returns the targets that are leaving.
     *
     * @return Their ids.
     */
    List<String> leaving() {
        List<String> ids = new ArrayList<>(leavingByPeers);
        for (KnownTarget each : targets.values()) {
            DirectoryTarget target = each.load().target();
            if (target.leaving() && !leavingByPeers.contains(target.id())) {
                ids.add(target.id());
            }
        }
        return ids;
    }

    /**
     * Returns the targets of a service that take requests.
     *
     * @param service The service.
     * @param tried The ids of targets to pass over.
     * @param now The present time, in milliseconds.
     * @return Their loads.
     */
    List<TargetLoad> open(String service, Collection<String> tried, long now) {
        List<TargetLoad> open = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            DirectoryTarget target = each.load().target();
            if (target.service().equals(service)
                    && !target.leaving()
                    && !leavingByPeers.contains(target.id())
                    && !tried.contains(target.id())
                    && each.load().health().open(now)) {
                open.add(each.load());
            }
        }
        return open;
    }

    /**
     * Returns the targets of a service that are leaving and still there.
     *
     * @param service The service.
     * @return Their loads.
     */
    List<TargetLoad> leaving(String service) {
        List<TargetLoad> found = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            DirectoryTarget target = each.load().target();
            boolean leaves = target.leaving() || leavingByPeers.contains(target.id());
            if (leaves && target.service().equals(service)) {
                found.add(each.load());
            }
        }
        return found;
    }

    /**
     * Returns a target.
     *
     * @param id The target's id.
     * @return The target or empty if it is gone.
     */
    Optional<KnownTarget> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * Returns all targets.
     *
     * @return The targets.
     */
    Collection<KnownTarget> all() {
        return targets.values();
    }

    /**
     * Returns how fast the targets of a service read.
     *
     * @param service The service.
     * @return The rate.
     */
    ReadingRate rate(String service) {
        return rates.computeIfAbsent(service, name -> new ReadingRate());
    }

    /** Closes all idle connections. */
    void close() {
        targets.values().forEach(each -> each.connections().close());
    }

    /**
     * Creates a target.
     *
     * @param told What the directory tells.
     * @return The target.
     */
    private KnownTarget create(DirectoryTarget told) {
        return new KnownTarget(
                new TargetLoad(told),
                new TargetConnections(reactor, told.address(), CONNECT_MILLIS, KeepAlive.NONE));
    }
}
