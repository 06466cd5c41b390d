package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.martenwell.balance.Availabilities;
import org.martenwell.balance.Availability;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.PrefillRate;
import org.martenwell.balance.TargetHealth;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.WarmUpPacer;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.exchange.InternalHttpClient;
import org.martenwell.exchange.KeepAlive;
import org.martenwell.exchange.TargetConnections;
import org.martenwell.peer.TargetNotice;
import org.martenwell.route.WarmUpLimit;

/** The targets of the directory with their load and connections. */
final class TargetTable {

    /** The connect timeout of targets, in milliseconds. */
    private static final long CONNECT_MILLIS = 400;

    private final NioReactor reactor;

    private final TargetTableListener listener;

    /** Set if targets to which a connection has to be opened are avoided. */
    private boolean prefersIdleConnections;

    /**
     * The availability of targets by incarnation, including targets that are not in the directory.
     */
    private final Availabilities availabilities = new Availabilities();

    /** The targets by id. */
    private final Map<String, KnownTarget> targets = new HashMap<>();

    private final Map<String, KnownTarget> targetsByIncarnation = new HashMap<>();

    /** The failure domains whose targets get no requests. */
    private Set<String> evacuated = Set.of();

    /** The limits on requests to targets that warm up, by service. */
    private Map<String, WarmUpLimit> warmUpLimits = Map.of();

    private final WarmUpPacer warmUpPacer;

    private final ListingNotices listingNotices = new ListingNotices();

    private final ReportedDepartures reportedDepartures = new ReportedDepartures();

    /** The prefill rates by service. */
    private final Map<String, PrefillRate> rates = new HashMap<>();

    /**
     * The time that the directory may lag behind peers in reporting that a target is draining or
     * has departed, in milliseconds. Twice the batching delay of directory changes in the largest
     * fleet.
     */
    private static final long DIRECTORY_LAG_MILLIS = 1_500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The incarnations of draining targets for which a refresh of the directory was already
     * requested.
     */
    private final Set<String> refreshed = new HashSet<>();

    /**
     * Creates an empty table.
     *
     * @param reactor The event loop.
     * @param gateway The name of this gateway.
     * @param listener Receives changes in the state of targets.
     */
    TargetTable(NioReactor reactor, String gateway, TargetTableListener listener) {
        this.reactor = reactor;
        this.warmUpPacer = new WarmUpPacer(gateway);
        this.listener = listener;
    }

    /** Makes choosers prefer targets to which an idle connection is open. */
    void preferIdleConnections() {
        prefersIdleConnections = true;
    }

    /**
     * Replaces the targets by those of the directory. A target that restarted is a new one: it has
     * lost its connections, its requests and its prompt cache.
     *
     * @param entries All targets by id.
     * @param asOfMillis The time as of which the entries are current, in milliseconds.
     */
    void update(Map<String, DirectoryTarget> entries, long asOfMillis) {
        for (String id : List.copyOf(targets.keySet())) {
            if (!entries.containsKey(id)) {
                removeTarget(id);
            }
        }
        entries.values().forEach(this::updateTarget);
        refreshed.retainAll(targetsByIncarnation.keySet());
        warmUpPacer.retain(targetsByIncarnation.keySet());
        reportedDepartures.apply(targetsByIncarnation.keySet(), asOfMillis);
        updateExcluded();
    }

    /**
     * Applies a peer's notice on whether the directory lists a target.
     *
     * @param notice The notice.
     * @param now The current time, in milliseconds.
     */
    void applyNotice(TargetNotice notice, long now) {
        String incarnation = notice.target();
        if (notice.acceptsRequests()) {
            reportedDepartures.remove(incarnation);
        } else if (targetsByIncarnation.containsKey(incarnation)
                && reportedDepartures.add(incarnation, now)) {
            listener.unlisted(incarnation, NoticeSource.PEER);
        }
        updateExcluded();
    }

    private void updateExcluded() {
        reportedDepartures.exclude(
                targets.values().stream().map(each -> each.load().target()).toList());
    }

    /** {@return the notices for peers on which targets the directory lists} */
    ListingNotices listingNotices() {
        return listingNotices;
    }

    /**
     * Sets the limits on requests to targets that warm up.
     *
     * @param limits The limits by service.
     */
    void setWarmUpLimits(Map<String, WarmUpLimit> limits) {
        warmUpLimits = Map.copyOf(limits);
    }

    /**
     * Updates the gateways of the fleet, among which warming targets are distributed.
     *
     * @param names The names of all gateways, including this one.
     */
    void setGateways(Set<String> names) {
        warmUpPacer.members(names, reactor.currentTimeMillis());
    }

    /**
     * Replaces the evacuated failure domains. The targets of a domain whose evacuation ended are
     * assumed to warm up, since their entries may not say so yet.
     *
     * @param failureDomains The names of the failure domains.
     */
    void setEvacuated(Set<String> failureDomains) {
        for (KnownTarget each : targets.values()) {
            String domain = each.load().target().failureDomain();
            if (evacuated.contains(domain) && !failureDomains.contains(domain)) {
                each.load().warmUp().assume(reactor.currentTimeMillis());
            }
        }
        evacuated = Set.copyOf(failureDomains);
    }

    /**
     * Checks whether the operator, the target itself or its departure forbids requests to a target.
     *
     * @param load The target.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the target is neither draining, paused, evacuated nor reported as
     *     departed.
     */
    boolean acceptsRequests(TargetLoad load, long now) {
        return load.availability().isAvailable(now)
                && !isEvacuated(load)
                && !reportedDepartures.isExcluded(load.target().incarnation());
    }

    /**
     * Checks whether a target is in an evacuated failure domain.
     *
     * @param load The target.
     * @return {@code true} if it is.
     */
    boolean isEvacuated(TargetLoad load) {
        return evacuated.contains(load.target().failureDomain());
    }

    /**
     * Records that a request is sent to a target, which counts against its limit if it warms up.
     *
     * @param load The target.
     * @param now The current time, in milliseconds.
     */
    void recordSent(TargetLoad load, long now) {
        WarmUpLimit limit = warmUpLimit(load);
        if (load.warmUp().isActive(limit, now)) {
            warmUpPacer.sent(load.target().incarnation(), limit, now);
        }
    }

    private boolean isWithinWarmUpLimit(TargetLoad load, long now) {
        WarmUpLimit limit = warmUpLimit(load);
        return !load.warmUp().isActive(limit, now)
                || warmUpPacer.maySend(load.target().incarnation(), limit, now);
    }

    private WarmUpLimit warmUpLimit(TargetLoad load) {
        return warmUpLimits.getOrDefault(load.target().service(), WarmUpLimit.NONE);
    }

    /**
     * Adds or updates a target. A different start time or address makes it a new one; the start
     * time may be earlier than before if the target's clock was set back.
     *
     * @param entry The target's entry in the directory.
     */
    private void updateTarget(DirectoryTarget entry) {
        KnownTarget current = targetsByIncarnation.get(entry.incarnation());
        if (current != null && current.load().target().address().equals(entry.address())) {
            if (!current.load().target().version().equals(entry.version())) {
                replaceVersion(entry);
                return;
            }
            if (!current.load().target().warmUpMillis().equals(entry.warmUpMillis())) {
                current.load()
                        .warmUp()
                        .announced(entry.warmUpMillis(), reactor.currentTimeMillis());
            }
            current.load().target(entry);
            markIfDraining(current.load());
            return;
        }
        if (targets.containsKey(entry.id())) {
            removeTarget(entry.id());
        }
        addTarget(entry);
    }

    /**
     * Replaces a target that has restarted at another version under its id.
     *
     * @param entry The target's entry in the directory.
     */
    private void replaceVersion(DirectoryTarget entry) {
        removeTarget(entry.id());
        availabilities.remove(entry.incarnation());
        listener.versionChanged(entry.id());
        addTarget(entry);
    }

    private void addTarget(DirectoryTarget entry) {
        findByAddress(entry.address()).ifPresent(listener::crashed);
        KnownTarget created = create(entry);
        created.load().warmUp().announced(entry.warmUpMillis(), reactor.currentTimeMillis());
        targets.put(entry.id(), created);
        targetsByIncarnation.put(entry.incarnation(), created);
        listingNotices.listed(entry.incarnation());
        markIfDraining(created.load());
    }

    /**
     * Marks a target as draining if its directory entry says so.
     *
     * @param load The target.
     */
    private void markIfDraining(TargetLoad load) {
        if (load.target().draining()) {
            markDraining(
                    load.target().incarnation(),
                    NoticeSource.DIRECTORY,
                    reactor.currentTimeMillis());
        }
    }

    /**
     * Marks a target as draining. This is final for the incarnation, even if the directory later
     * lists it as ready, because the directory may be stale: a store that is unavailable may list a
     * target as ready for 13 s after the target's first response that states draining.
     *
     * @param incarnation The target's incarnation.
     * @param source The source of the notice.
     * @param now The current time, in milliseconds.
     */
    private void markDraining(String incarnation, NoticeSource source, long now) {
        if (availability(incarnation).markDraining(source, now)) {
            listener.draining(incarnation, source);
        }
    }

    /**
     * Returns the availability of a target. That of a listed target is taken from its load, since
     * the map of availabilities is bounded and may have evicted it.
     *
     * @param incarnation The target's incarnation.
     * @return The availability.
     */
    private Availability availability(String incarnation) {
        KnownTarget known = targetsByIncarnation.get(incarnation);
        return known == null ? availabilities.of(incarnation) : known.load().availability();
    }

    /**
     * Removes a target that is no longer listed or has restarted.
     *
     * @param id The target's id.
     */
    private void removeTarget(String id) {
        KnownTarget removed = targets.remove(id);
        String incarnation = removed.load().target().incarnation();
        targetsByIncarnation.remove(incarnation);
        listingNotices.unlisted(incarnation, reactor.currentTimeMillis());
        listener.unlisted(incarnation, NoticeSource.DIRECTORY);
        if (!removed.load().availability().isDraining()) {
            listener.crashed(removed);
        }
        removed.connections().close();
    }

    /**
     * Finds the target at an address. When a new target takes over the address of one that is still
     * listed, the former one has crashed.
     *
     * @param address The address.
     * @return The target or empty if there is none.
     */
    private Optional<KnownTarget> findByAddress(InetSocketAddress address) {
        return targets.values().stream()
                .filter(each -> each.load().target().address().equals(address))
                .findAny();
    }

    /**
     * Marks a target as draining because a peer reported it.
     *
     * @param incarnation The target's incarnation.
     * @param now The current time, in milliseconds.
     */
    void markDrainingByPeer(String incarnation, long now) {
        markDraining(incarnation, NoticeSource.PEER, now);
    }

    /**
     * Returns whether the directory has listed a draining or departed target as ready for too long,
     * so that other changes may be missing too. Each target counts once.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if the directory should be read again.
     */
    boolean detectStaleDirectory(long now) {
        boolean stale = reportedDepartures.detectStaleDirectory(now, DIRECTORY_LAG_MILLIS);
        for (KnownTarget each : targets.values()) {
            Availability availability = each.load().availability();
            DirectoryTarget target = each.load().target();
            boolean unconfirmed = availability.isDraining() && !target.draining();
            if (unconfirmed && now - availability.drainingSinceMillis() >= DIRECTORY_LAG_MILLIS) {
                stale |= refreshed.add(target.incarnation());
            }
        }
        return stale;
    }

    /** {@return the incarnations of all targets that are draining} */
    List<String> draining() {
        List<String> found = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            if (each.load().availability().isDraining()) {
                found.add(each.load().target().incarnation());
            }
        }
        return found;
    }

    /**
     * Returns the targets that accept requests.
     *
     * @param selector Selects the targets that may serve the request.
     * @param tried The ids of targets to exclude.
     * @param now The current time, in milliseconds.
     * @return The loads of these targets.
     */
    List<TargetLoad> available(TargetSelector selector, Collection<String> tried, long now) {
        return select(selector, tried, health -> health.isAvailable(now), now);
    }

    /**
     * Returns the targets that a request which may be repeated can be sent to if none is available.
     * Each gets one request of this gateway at a time.
     *
     * @param selector Selects the targets that may serve the request.
     * @param tried The ids of the targets that the request was sent to.
     * @param now The current time, in milliseconds.
     * @return The targets that are suspended for failures that they responded with.
     */
    List<TargetLoad> lastResort(TargetSelector selector, Collection<String> tried, long now) {
        List<TargetLoad> targets = select(selector, tried, health -> health.mayBeTried(now), now);
        targets.removeIf(each -> each.runningRequests() > 0);
        return targets;
    }

    private List<TargetLoad> select(
            TargetSelector selector,
            Collection<String> tried,
            Predicate<TargetHealth> usable,
            long now) {
        List<TargetLoad> selected = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            DirectoryTarget target = each.load().target();
            if (selector.matches(target)
                    && acceptsRequests(each.load(), now)
                    && !tried.contains(target.id())
                    && usable.test(each.load().health())
                    && isWithinWarmUpLimit(each.load(), now)) {
                selected.add(each.load());
            }
        }
        return selected;
    }

    /**
     * Checks whether a target may accept requests sooner or later.
     *
     * @param selector Selects the targets that may serve the request.
     * @return {@code false} if all of them are draining or have departed.
     */
    boolean mayAcceptRequestsLater(TargetSelector selector) {
        return targets.values().stream()
                .map(KnownTarget::load)
                .filter(each -> selector.matches(each.target()))
                .anyMatch(each -> !each.availability().isDraining());
    }

    /**
     * Returns the time until the first paused target accepts requests again.
     *
     * @param selector Selects the targets that may serve the request.
     * @param now The current time, in milliseconds.
     * @return The time in milliseconds; empty if no target is paused, apart from draining ones.
     */
    OptionalLong minPauseMillis(TargetSelector selector, long now) {
        return targets.values().stream()
                .map(KnownTarget::load)
                .filter(each -> selector.matches(each.target()))
                .map(TargetLoad::availability)
                .filter(each -> each.isPaused(now) && !each.isDraining())
                .mapToLong(each -> each.pauseMillis(now))
                .min();
    }

    /**
     * Returns the targets of a service that are draining, still listed and not evacuated.
     *
     * @param service The name of the service.
     * @return The loads of these targets.
     */
    List<TargetLoad> draining(String service) {
        List<TargetLoad> found = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            boolean draining = each.load().availability().isDraining() && !isEvacuated(each.load());
            if (draining && each.load().target().service().equals(service)) {
                found.add(each.load());
            }
        }
        return found;
    }

    /**
     * Finds a target by its id.
     *
     * @param id The target's id.
     * @return The target or empty if it is not listed.
     */
    Optional<KnownTarget> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * Finds a target by its incarnation.
     *
     * @param incarnation The target's incarnation.
     * @return The target or empty if this incarnation is not listed.
     */
    Optional<KnownTarget> findByIncarnation(String incarnation) {
        return Optional.ofNullable(targetsByIncarnation.get(incarnation));
    }

    /** {@return all targets of the directory} */
    Collection<KnownTarget> all() {
        return targets.values();
    }

    /**
     * Returns the prefill rate of a service's targets.
     *
     * @param service The name of the service.
     * @return The rate, which callers update by their observations.
     */
    PrefillRate rate(String service) {
        return rates.computeIfAbsent(service, name -> new PrefillRate());
    }

    /** {@return the longest estimated prefill of all services, in nanoseconds per token} */
    long maxPrefillNanosPerToken() {
        return rates.values().stream()
                .mapToLong(each -> Math.round(each.millis(NANOS_PER_MILLI)))
                .max()
                .orElse(0);
    }

    /** Closes all idle connections. */
    void close() {
        targets.values().forEach(each -> each.connections().close());
    }

    /**
     * Creates a target without load.
     *
     * @param entry The target's entry in the directory.
     * @return The target.
     */
    private KnownTarget create(DirectoryTarget entry) {
        TargetLoad load = new TargetLoad(entry, availabilities.of(entry.incarnation()));
        TargetConnections connections =
                new TargetConnections(
                        reactor,
                        entry.address(),
                        CONNECT_MILLIS,
                        KeepAlive.NONE,
                        new TargetHeadListener(listener, load));
        load.idleConnection(() -> !prefersIdleConnections || connections.hasIdle());
        return new KnownTarget(load, connections, new CrashCounts());
    }

    /**
     * Creates a client for requests of the gateway itself to a target.
     *
     * @param target The target.
     * @param clock Returns the time, in milliseconds; by it timeouts are measured.
     * @return The client, which has its own connections and must be closed.
     */
    InternalHttpClient createClient(KnownTarget target, LongSupplier clock) {
        return new InternalHttpClient(
                reactor,
                clock,
                target.load().target().address(),
                new TargetHeadListener(listener, target.load()));
    }
}
