package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.Route;
import org.martenwell.version.ListedVersions;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.StreamOrigins;
import org.martenwell.version.VersionHistory;

/**
 * Finds the version at which a stream began, so that only a target of that version continues it.
 * While a service has several versions, peers are notified of each new stream. Otherwise nothing is
 * sent: the only version that was listed while the stream may have begun is the one that began it.
 */
final class StreamVersions {

    /** The least time for which origins are retained, in milliseconds. */
    private static final long MIN_RETENTION_MILLIS = 15_000;

    /** The time for which a request waits for the responses of peers, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 300;

    /** The interval of requests to peers, of which the connections may still open. */
    private static final long ASK_INTERVAL_MILLIS = 100;

    /**
     * The age up to which the directory's list is taken as current, in milliseconds. Peers notify
     * each other of new versions sooner.
     */
    private static final long MAX_LIST_AGE_MILLIS = 1_000;

    /**
     * The time that the directory may lag behind the restart of a target at another version, in
     * milliseconds.
     */
    private static final long DIRECTORY_LAG_MILLIS = 1_500;

    private final NioReactor reactor;

    private final StreamOrigins own = new StreamOrigins(MIN_RETENTION_MILLIS);

    private final StreamOrigins reported = new StreamOrigins(MIN_RETENTION_MILLIS);

    private final ListedVersions listed = new ListedVersions();

    /** The streams that began here of late, the oldest first. */
    private final Deque<RecentStart> recentStarts = new ArrayDeque<>();

    /** The origins of which peers have not been notified yet. */
    private List<StreamOrigin> unsent = new ArrayList<>();

    /** The services that had several versions when the listed versions last changed. */
    private final Set<String> mixedServices = new HashSet<>();

    /** The requests that wait for the version of their stream. */
    private final Set<Inquiry> waiting = new LinkedHashSet<>();

    private OriginPeers peers = new NoPeers();

    private long retentionMillis = MIN_RETENTION_MILLIS;

    /** The time as of which the directory's list of targets is current, in milliseconds. */
    private long listedAsOfMillis = Long.MIN_VALUE / 2;

    /** The time of the last request to read the targets again, in milliseconds. */
    private long refreshedMillis = Long.MIN_VALUE / 2;

    private boolean askScheduled;

    /**
     * The start of a stream here.
     *
     * @param millis The time of its first event, in milliseconds.
     * @param target The id of the target that produced it.
     * @param attempt The key of the attempt.
     */
    private record RecentStart(long millis, String target, long attempt) {}

    /**
     * A request that waits for the version of its stream.
     *
     * @param attempt The attempt that brought the first event, empty if the caller names none.
     * @param service The only service of the route, empty if it has several.
     * @param sinceMillis The time of the request, in milliseconds.
     * @param listener Receives the result.
     */
    private record Inquiry(
            Optional<Long> attempt,
            Optional<String> service,
            long sinceMillis,
            Consumer<StreamLookup> listener) {}

    /**
     * Creates an instance without peers that knows no versions.
     *
     * @param reactor The event loop.
     */
    StreamVersions(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Sets the peers; called once before the start.
     *
     * @param sources The peers.
     */
    void peers(OriginPeers sources) {
        peers = sources;
    }

    /**
     * Adapts the retention to the longest time that a stream may last.
     *
     * @param configuration The active configuration.
     */
    void configure(GatewayConfiguration configuration) {
        retentionMillis =
                configuration.routes().stream()
                        .filter(Route::resumable)
                        .mapToLong(Route::timeoutMillis)
                        .reduce(MIN_RETENTION_MILLIS, Math::max);
        own.retain(retentionMillis);
        reported.retain(retentionMillis);
    }

    /**
     * Replaces the targets of the directory.
     *
     * @param targets All targets, draining ones included.
     * @param asOfMillis The time as of which they are current, in milliseconds.
     */
    void list(Collection<DirectoryTarget> targets, long asOfMillis) {
        listedAsOfMillis = asOfMillis;
        Set<ServiceVersion> versions = new HashSet<>();
        targets.forEach(each -> versions.add(new ServiceVersion(each.service(), each.version())));
        if (listed.update(versions, now(), 2 * retentionMillis)) {
            peers.send(history());
        }
        updateMixedServices();
        resolveWaiting();
    }

    /** {@return what is known of the versions that the directory lists} */
    VersionHistory history() {
        return listed.history(now());
    }

    /**
     * Applies what a peer knows of the versions that the directory lists.
     *
     * @param history The peer's knowledge.
     * @return {@code true} if a version was not known before.
     */
    boolean learn(VersionHistory history) {
        boolean added = listed.merge(history, now());
        updateMixedServices();
        resolveWaiting();
        return added;
    }

    /**
     * Applies the origins that a peer reported.
     *
     * @param origins The origins.
     */
    void learn(List<StreamOrigin> origins) {
        origins.forEach(each -> reported.put(each, now()));
        resolveWaiting();
    }

    /**
     * Records that the first event of a stream was forwarded.
     *
     * @param attempt The id of the attempt.
     * @param target The target that produced it.
     * @param route The route of the request.
     */
    void began(String attempt, DirectoryTarget target, Route route) {
        long now = now();
        recentStarts.removeIf(each -> now - each.millis() > DIRECTORY_LAG_MILLIS);
        recentStarts.add(new RecentStart(now, target.id(), StreamOrigin.key(attempt)));
        add(
                new StreamOrigin(
                        StreamOrigin.key(attempt),
                        new ServiceVersion(target.service(), target.version())),
                route);
    }

    /**
     * Records that a stream that began elsewhere continues here.
     *
     * @param attempt The id of the attempt that brought the first event.
     * @param version The version that began the stream.
     * @param route The route of the request.
     */
    void continued(String attempt, ServiceVersion version, Route route) {
        add(new StreamOrigin(StreamOrigin.key(attempt), version), route);
    }

    /** Adds an origin, and notifies peers of it if they can't infer it. */
    private void add(StreamOrigin origin, Route route) {
        own.put(origin, now());
        if (route.services().size() > 1 || hasSeveralVersions(origin.version().service())) {
            unsent.add(origin);
        }
    }

    /**
     * Invalidates the streams that began of late at a target whose version has changed. It may have
     * restarted before they began and its entry changed after.
     *
     * @param target The target's id.
     */
    void versionChanged(String target) {
        long now = now();
        for (RecentStart each : recentStarts) {
            if (each.target().equals(target) && now - each.millis() <= DIRECTORY_LAG_MILLIS) {
                StreamOrigin unknown = new StreamOrigin(each.attempt(), ServiceVersion.UNKNOWN);
                own.put(unknown, now);
                unsent.add(unknown);
            }
        }
    }

    /**
     * Removes and returns the origins of which peers have not been notified yet.
     *
     * @return The origins, possibly none.
     */
    List<StreamOrigin> takeUnsent() {
        List<StreamOrigin> taken = unsent;
        unsent = new ArrayList<>();
        return taken;
    }

    /**
     * Returns the origins that are known here.
     *
     * @param attempts The keys of the attempts that brought the first events.
     * @return The origins of those that are known.
     */
    List<StreamOrigin> known(List<Long> attempts) {
        List<StreamOrigin> known = new ArrayList<>();
        for (long each : attempts) {
            find(each).ifPresent(found -> known.add(new StreamOrigin(each, found.version())));
        }
        return known;
    }

    /**
     * Finds the version of a stream that a caller takes up.
     *
     * @param attempt The id of the attempt that brought the first event, empty if the caller names
     *     none.
     * @param route The route of the request.
     * @param listener Receives the result; called at once or within {@link #MAX_WAIT_MILLIS}.
     */
    void find(Optional<String> attempt, Route route, Consumer<StreamLookup> listener) {
        Optional<String> service =
                route.services().size() == 1
                        ? Optional.of(route.services().get(0).service())
                        : Optional.empty();
        Inquiry inquiry = new Inquiry(attempt.map(StreamOrigin::key), service, now(), listener);
        if (resolve(inquiry)) {
            return;
        }
        waiting.add(inquiry);
        if (onlyVersion(inquiry).isPresent()) {
            refreshTargets();
        }
        askPeriodically();
        reactor.delayBackground(MAX_WAIT_MILLIS, () -> giveUp(inquiry));
    }

    /** {@return the number of origins that are retained} */
    long size() {
        return (long) own.size() + reported.size();
    }

    /** {@return the most versions of a service that were listed of late} */
    long versions() {
        long most = 0;
        for (ServiceVersion each : listed.all()) {
            most = Math.max(most, recentVersions(each.service()).size());
        }
        return most;
    }

    /**
     * Responds to a request if the version of its stream is known or can't be.
     *
     * @param inquiry The request.
     * @return {@code true} if its listener was called.
     */
    private boolean resolve(Inquiry inquiry) {
        Optional<ResumedStream> found = inquiry.attempt().flatMap(this::find);
        if (found.isPresent()) {
            if (found.get().version().isKnown()) {
                accept(inquiry, found.get());
            } else {
                refuse(inquiry, StreamRefusal.CONTRADICTORY);
            }
            return true;
        }
        Optional<ServiceVersion> only = onlyVersion(inquiry);
        if (only.isPresent() && listedAsOfMillis >= inquiry.sinceMillis() - MAX_LIST_AGE_MILLIS) {
            accept(inquiry, new ResumedStream(only.get(), OriginSource.ONLY_VERSION));
            return true;
        }
        if (inquiry.attempt().isEmpty() && only.isEmpty()) {
            refuse(inquiry, refusal(inquiry));
            return true;
        }
        return false;
    }

    private void accept(Inquiry inquiry, ResumedStream stream) {
        inquiry.listener().accept(StreamLookup.found(stream, facts(inquiry)));
    }

    private void refuse(Inquiry inquiry, StreamRefusal refusal) {
        inquiry.listener().accept(StreamLookup.refused(refusal, facts(inquiry)));
    }

    /** Returns why the version of a stream can't be known that no peer has told. */
    private StreamRefusal refusal(Inquiry inquiry) {
        if (versionsOf(inquiry) == 1) {
            return StreamRefusal.HISTORY_TOO_SHORT;
        }
        if (inquiry.attempt().isEmpty()) {
            return StreamRefusal.NO_ATTEMPT_NAMED;
        }
        return peers.inContact() ? StreamRefusal.UNKNOWN_TO_PEERS : StreamRefusal.PEERS_SILENT;
    }

    private LookupFacts facts(Inquiry inquiry) {
        return new LookupFacts(
                versionsOf(inquiry),
                history().coveredMillis(),
                0,
                0,
                now() - inquiry.sinceMillis());
    }

    private int versionsOf(Inquiry inquiry) {
        return inquiry.service().map(each -> recentVersions(each).size()).orElse(0);
    }

    private Optional<ResumedStream> find(long attempt) {
        Optional<ServiceVersion> here = own.find(attempt, now());
        Optional<ServiceVersion> there = reported.find(attempt, now());
        if (here.isPresent() && there.isPresent() && !here.equals(there)) {
            return Optional.of(new ResumedStream(ServiceVersion.UNKNOWN, OriginSource.PEER));
        }
        return here.map(each -> new ResumedStream(each, OriginSource.OWN))
                .or(() -> there.map(each -> new ResumedStream(each, OriginSource.PEER)));
    }

    private Optional<ServiceVersion> onlyVersion(Inquiry inquiry) {
        return inquiry.service()
                .flatMap(each -> listed.only(each, inquiry.sinceMillis() - retentionMillis));
    }

    private void resolveWaiting() {
        for (Inquiry each : List.copyOf(waiting)) {
            if (waiting.contains(each) && resolve(each)) {
                waiting.remove(each);
            }
        }
    }

    /** Responds to a request for which no version was found in time. */
    private void giveUp(Inquiry inquiry) {
        if (waiting.remove(inquiry)) {
            Optional<ServiceVersion> only = onlyVersion(inquiry);
            if (only.isPresent() && peers.inContact()) {
                accept(inquiry, new ResumedStream(only.get(), OriginSource.ONLY_VERSION));
            } else {
                refuse(inquiry, only.isPresent() ? StreamRefusal.PEERS_SILENT : refusal(inquiry));
            }
        }
    }

    /** Asks peers again, as long as requests wait for a response. */
    private void askPeriodically() {
        if (askScheduled) {
            return;
        }
        List<Long> attempts = waiting.stream().flatMap(each -> each.attempt().stream()).toList();
        if (attempts.isEmpty()) {
            return;
        }
        peers.ask(attempts);
        askScheduled = true;
        reactor.delayBackground(
                ASK_INTERVAL_MILLIS,
                () -> {
                    askScheduled = false;
                    askPeriodically();
                });
    }

    private void refreshTargets() {
        if (now() - refreshedMillis >= MAX_WAIT_MILLIS) {
            refreshedMillis = now();
            peers.refreshTargets();
        }
    }

    /** Notifies peers of all streams of a service that has several versions from now on. */
    private void updateMixedServices() {
        Set<String> before = Set.copyOf(mixedServices);
        mixedServices.clear();
        for (ServiceVersion each : listed.all()) {
            if (hasSeveralVersions(each.service())) {
                mixedServices.add(each.service());
            }
        }
        for (String each : mixedServices) {
            if (!before.contains(each)) {
                unsent.addAll(own.of(each, now()));
            }
        }
    }

    private boolean hasSeveralVersions(String service) {
        return recentVersions(service).size() > 1;
    }

    private Set<ServiceVersion> recentVersions(String service) {
        return listed.since(service, now() - 2 * retentionMillis);
    }

    private long now() {
        return reactor.currentTimeMillis();
    }

    /** The peers of a gateway that has none. */
    private static final class NoPeers implements OriginPeers {

        @Override
        public void ask(List<Long> attempts) {}

        @Override
        public void send(VersionHistory history) {}

        @Override
        public void refreshTargets() {}

        @Override
        public boolean inContact() {
            return true;
        }
    }
}
